package org.tanagermoor.kernel.setting;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.is;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class SettingsTest {

    private static final Setting<Address> ADDRESS = Setting.ofAddress("peer-address", "the address", null);

    private static final Setting<Duration> WINDOW = Setting.ofMillis("window", "the window", "2000", 100, 5000);

    private static final List<Setting<?>> KNOWN = List.of(ADDRESS, WINDOW);

    @Test
    void flagTakesPrecedenceOverVariable() {
        Settings settings = Settings.parse(
                        KNOWN, List.of("--peer-address", "127.0.0.1:1"), Map.of("TANAGERMOOR_PEER_ADDRESS", "[::1]:2"))
                .get();

        assertThat(settings.value(ADDRESS), is(Address.of("127.0.0.1", 1)));
        assertThat(settings.value(WINDOW), is(Duration.ofSeconds(2)));
    }

    @Test
    void reportsAllProblemsTogether() {
        List<String> problems = Settings.parse(
                        KNOWN,
                        List.of("--window=9", "--colour", "red"),
                        Map.of("TANAGERMOOR_SHAPE", "round", "TANAGERMOOR_KEY", "of the tool"))
                .getLeft();

        assertThat(
                problems,
                contains(
                        "--peer-address (TANAGERMOOR_PEER_ADDRESS) must be given: the address",
                        "--window (TANAGERMOOR_WINDOW) must be from 100 to 5000, but is 9",
                        "--colour is not a known flag",
                        "TANAGERMOOR_SHAPE is not a known environment variable"));
    }

    @ParameterizedTest
    @CsvSource({
        "localhost:80, does not begin with an IP number: localhost:80",
        "127.0.0.1, is not of the form ip:port: 127.0.0.1",
        "127.0.0.1:x, does not end with a port: 127.0.0.1:x",
        "127.0.0.1:70000, has a port outside 0 to 65535: 127.0.0.1:70000"
    })
    void refusesMalformedAddresses(String text, String problem) {
        assertThat(Address.parse(text).getLeft(), is(problem));
    }
}
