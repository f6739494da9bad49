package org.tanagermoor.gateway.job;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests the selection of the items that ask for a place next. */
final class AskOrderTest {

    /**
     * Each letter is an item: f has not started, b has started; F and B are the same, but wait for a place; r runs. All
     * started items ask first, followed by unstarted items until four of these wait. Items with a part that is held back
     * (h, waiting H) kept the others from asking.
     */
    @ParameterizedTest
    @CsvSource({
        "ffffff, 0123",
        "FFFFff, ''",
        "FFFFbf, 4",
        "FFfbbf, 3425",
        "bbbbbbb, 0123456",
        "BBBBff, 45",
        "rrrr, ''",
        "HHHHHffhb, 8567"
    })
    void letsStartedItemsAskFirst(String items, String positions) {
        List<Item> job = new ArrayList<>();
        for (int position = 0; position < items.length(); position++) {
            job.add(new Item(position, items.charAt(position)));
        }
        StringBuilder next = new StringBuilder();
        AskOrder.next(job).forEach(item -> next.append(item.position()));
        assertThat(next.toString(), is(positions));
    }

    /** An item whose state is given by a letter. */
    private record Item(int position, char kind) implements AskOrder.Candidate {

        /** {@inheritDoc} */
        @Override
        public boolean idle() {
            return kind == 'f' || kind == 'b' || kind == 'h';
        }

        /** {@inheritDoc} */
        @Override
        public boolean asking() {
            return kind == 'F' || kind == 'B' || kind == 'H';
        }

        /** {@inheritDoc} */
        @Override
        public boolean heldBack() {
            return kind == 'h' || kind == 'H';
        }

        /** {@inheritDoc} */
        @Override
        public boolean started() {
            return kind == 'b' || kind == 'B' || kind == 'r';
        }
    }
}
