package org.tanagermoor.standin.link;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class ReservedAddressTest {

    private static final int RESERVED = 400;

    private final List<ReservedAddress> reserved = new ArrayList<>();

    private final List<AutoCloseable> sockets = new ArrayList<>();

    @BeforeEach
    void reserve() {
        for (int index = 0; index < RESERVED; index++) {
            reserved.add(ReservedAddress.of());
        }
    }

    @AfterEach
    void close() throws Exception {
        for (AutoCloseable socket : sockets) {
            socket.close();
        }
        reserved.forEach(ReservedAddress::close);
    }

    @ParameterizedTest
    @ValueSource(ints = {1_500})
    void isGivenToNoConnectionAndNoListener(int others) throws IOException {
        Set<Integer> ports = reserved.stream().map(ReservedAddressTest::port).collect(Collectors.toSet());
        List<Integer> taken = new ArrayList<>();
        ServerSocket accepting = listen(0);
        for (int index = 0; index < others; index++) {
            taken.add(listen(0).getLocalPort());
            Socket connection = new Socket(accepting.getInetAddress(), accepting.getLocalPort());
            sockets.add(connection);
            sockets.add(accepting.accept());
            taken.add(connection.getLocalPort());
        }
        assertThat(taken.stream().filter(ports::contains).toList(), is(empty()));
    }

    @Test
    void canBeListenedOnAgainAfterARestart() throws IOException {
        for (int start = 0; start < 2; start++) {
            try (ServerSocket listener = listen(port(reserved.get(0)));
                    Socket connection = new Socket(listener.getInetAddress(), listener.getLocalPort());
                    Socket accepted = listener.accept()) {
                assertThat(accepted.getPort(), is(connection.getLocalPort()));
            }
        }
    }

    private ServerSocket listen(int port) throws IOException {
        ServerSocket socket = new ServerSocket();
        sockets.add(socket);
        socket.setReuseAddress(true);
        socket.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), port));
        return socket;
    }

    private static int port(ReservedAddress address) {
        return Integer.parseInt(address.address().split(":")[1]);
    }
}
