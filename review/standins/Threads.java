/** Starts background threads that end with the process. */
final class Threads {
    private Threads() {
    }

    /** Work that may fail; its failure ends its thread only, as a closed connection does. */
    interface Work {
        void run() throws Exception;
    }

    static Thread start(Work work) {
        Thread thread = new Thread(() -> {
            try {
                work.run();
            } catch (Exception failure) {
                // The peer has closed the connection, or the test has ended.
            }
        });
        thread.setDaemon(true);
        thread.start();
        return thread;
    }
}
