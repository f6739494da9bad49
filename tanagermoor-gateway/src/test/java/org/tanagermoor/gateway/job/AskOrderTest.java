package org.tanagermoor.gateway.job;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests of which items of a job ask next. */
final class AskOrderTest {

    /**
     * Items are given by a letter each: f has not begun, b has; F and B ask, r runs. All that have begun ask first, and
     * four that have not.
     */
    @ParameterizedTest
    @CsvSource({"ffffff, 0123", "FFFFff, ''", "FFFFbf, 4", "FFfbbf, 3425", "bbbbbbb, 0123456", "BBBBff, 45", "rrrr, ''"
    })
    void letsItemsThatHaveBegunAskFirst(String items, String positions) {
        List<Item> job = new ArrayList<>();
        for (int position = 0; position < items.length(); position++) {
            job.add(new Item(position, items.charAt(position)));
        }
        StringBuilder next = new StringBuilder();
        AskOrder.next(job).forEach(item -> next.append(item.position()));
        assertThat(next.toString(), is(positions));
    }

    /** An item. */
    private record Item(int position, char kind) implements AskOrder.Candidate {

        /** {@inheritDoc} */
        @Override
        public boolean idle() {
            return kind == 'f' || kind == 'b';
        }

        /** {@inheritDoc} */
        @Override
        public boolean asking() {
            return kind == 'F' || kind == 'B';
        }

        /** {@inheritDoc} */
        @Override
        public boolean begun() {
            return kind == 'b' || kind == 'B' || kind == 'r';
        }
    }
}
