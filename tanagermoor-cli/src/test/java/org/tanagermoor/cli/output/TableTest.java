package org.tanagermoor.cli.output;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.nio.charset.StandardCharsets;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.tanagermoor.http.Json;

class TableTest {

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            quoteCharacter = '`',
            value = {
                "[] | none;",
                "[1,2] | 1;2;",
                "[{\"a\":1,\"b\":\"long\"},{\"a\":\"wide\"}] | a     b;1     long;wide;",
                "{\"a\":1,\"b\":{\"c\":true}} | a: 1;b:;  c: true;",
                "{\"rows\":[{\"x\":1}],\"none\":[]} | rows:;  x;  1;none: [];",
                "\"plain\" | plain;"
            })
    void printsReadableText(String document, String expected) {
        String text = Table.of(
                Json.read("test", document.getBytes(StandardCharsets.UTF_8)).get());

        assertThat(text, is(expected.replace(';', '\n')));
    }
}
