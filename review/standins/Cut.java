import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;

/** A proxy on the path between a machine and the store, which holds all bytes back while the path is cut. */
final class Cut {
    private static final int BUFFER_BYTES = 64 << 10;
    private final ServerSocket server = new ServerSocket(0, 256, InetAddress.getByName("127.0.0.1"));
    private final int targetPort;
    private boolean cut;

    Cut(int targetPort) throws IOException {
        this.targetPort = targetPort;
        Threads.start(this::accept);
    }

    int port() {
        return server.getLocalPort();
    }

    synchronized void set(boolean isCut) {
        cut = isCut;
        notifyAll();
    }

    private synchronized void awaitPath() throws InterruptedException {
        while (cut) wait();
    }

    private void accept() throws IOException {
        while (true) {
            Socket near = server.accept();
            Threads.start(() -> {
                awaitPath();
                Socket far = new Socket(InetAddress.getByName("127.0.0.1"), targetPort);
                near.setTcpNoDelay(true);
                far.setTcpNoDelay(true);
                Threads.start(() -> pump(near, far));
                Threads.start(() -> pump(far, near));
            });
        }
    }

    private void pump(Socket from, Socket to) throws IOException, InterruptedException {
        try (from; to) {
            InputStream in = from.getInputStream();
            OutputStream out = to.getOutputStream();
            byte[] buffer = new byte[BUFFER_BYTES];
            for (int read = in.read(buffer); read >= 0; read = in.read(buffer)) {
                awaitPath();
                out.write(buffer, 0, read);
            }
        }
    }
}
