/** Ends a test with an exit code that an uncaught exception cannot have; the script translates it. */
final class Outcome {
    private static final int HELD = 0;
    private static final int NOT_RUN = 2;
    private static final int BROKEN = 10;

    private Outcome() {
    }

    static void exit(boolean broken, boolean couldRun) {
        System.exit(broken ? BROKEN : couldRun ? HELD : NOT_RUN);
    }
}
