package org.tanagermoor.standin.target;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import io.netty.channel.embedded.EmbeddedChannel;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests of how faults strike connections. */
final class FaultInjectorTest {

    /** A connection that is accepted while a target stops to listen is reset like the others, before it is read. */
    @ParameterizedTest
    @CsvSource({"false, true", "true, false"})
    void resetsWhatIsAcceptedOnTheWayOut(boolean leaves, boolean open) {
        FaultInjector injector = new FaultInjector(() -> {}, () -> {});
        if (leaves) {
            injector.leave();
        }
        EmbeddedChannel channel = new EmbeddedChannel();
        injector.accepted(channel, new Faults());
        assertThat(channel.isOpen(), is(open));
    }
}
