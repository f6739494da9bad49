package org.tanagermoor.batch.accept;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.nio.charset.StandardCharsets;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class ItemStreamTest {

    private static final int ITEMS = 350_000;

    private static byte[] line(String id) {
        return ("{\"id\":\"" + id + "\",\"body\":1}\n").getBytes(StandardCharsets.UTF_8);
    }

    @ParameterizedTest
    @CsvSource({
        "1, item-0, line 4: has the same id as line 3",
        "1, Item-0, ''",
        "350000, item-0, line 350003: has the same id as line 3",
        "350000, item-349998, line 350003: has the same id as line 350001",
        "349999, item-350000, ''",
    })
    void refusesARepeatedId(int before, String last, String expected) {
        ItemStream fresh = ItemStream.ofNew("echo");
        ItemStream resend = ItemStream.ofResend("echo");
        fresh.add("\n\n".getBytes(StandardCharsets.UTF_8));
        for (int number = 0; number < before; number++) {
            assertThat(fresh.add(line("item-" + number)).isRight(), is(true));
            assertThat(resend.add(line("item-" + number)).isRight(), is(true));
        }
        assertThat(fresh.add(line(last)).fold(failure -> failure.detail(), full -> ""), is(expected));
        if (before < ITEMS) {
            assertThat(resend.add(line(last)).isRight(), is(true));
        }
    }
}
