package pondridge.http1;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.ArrayList;
import java.util.List;

/** A listener with a full accept queue: no connection to it is established until {@link #accept}. */
public final class SaturatedListener implements AutoCloseable {
    private final ServerSocket server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
    private final List<Socket> fillers = new ArrayList<>();

    public SaturatedListener() throws IOException {
        server.setSoTimeout((int) (StubServer.TIMEOUT_SECONDS * 1000));
        while (true) {
            Socket filler = new Socket();
            fillers.add(filler);
            try {
                filler.connect(server.getLocalSocketAddress(), 300);
            } catch (SocketTimeoutException e) {
                return;
            }
        }
    }

    public InetSocketAddress address() {
        return (InetSocketAddress) server.getLocalSocketAddress();
    }

    /** Drains the accept queue, and returns the connection that was waiting for a slot in it. */
    public Socket accept() throws IOException {
        for (Socket filler : fillers) {
            if (filler.isConnected()) {
                server.accept().close();
            }
        }
        Socket delayed = server.accept();
        delayed.setSoTimeout((int) (StubServer.TIMEOUT_SECONDS * 1000));
        return delayed;
    }

    @Override
    public void close() throws IOException {
        for (Socket filler : fillers) {
            filler.close();
        }
        server.close();
    }
}
