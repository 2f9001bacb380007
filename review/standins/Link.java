import java.io.FilterInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.util.concurrent.locks.LockSupport;

/** A link with a bandwidth and a small window, over which a consumer receives without a pause. */
final class Link {
    static final int WINDOW_BYTES = 64 << 10;
    private final double bytesPerNanosecond;

    Link(int megabitsPerSecond) {
        bytesPerNanosecond = megabitsPerSecond * 1e6 / 8 / 1e9;
    }

    /** The stream as it arrives over this link. */
    InputStream over(InputStream in) {
        return new FilterInputStream(in) {
            private long freeAt = System.nanoTime();

            @Override
            public int read(byte[] bytes, int offset, int length) throws IOException {
                int read = super.read(bytes, offset, Math.min(length, WINDOW_BYTES));
                if (read > 0) receive(read);
                return read;
            }

            private void receive(int bytes) {
                freeAt = Math.max(freeAt, System.nanoTime()) + (long) (bytes / bytesPerNanosecond);
                for (long left = freeAt - System.nanoTime(); left > 0; left = freeAt - System.nanoTime()) LockSupport.parkNanos(left);
            }
        };
    }
}
