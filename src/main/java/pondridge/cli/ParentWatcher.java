package pondridge.cli;

import java.io.IOException;

/** Detects the exit of the parent process, which holds the other end of standard input. */
final class ParentWatcher {
    private ParentWatcher() {}

    /** Starts a thread that exits this process, as at SIGTERM, when standard input is closed. */
    static void exitWithParent() {
        Thread thread = new Thread(
                () -> {
                    try {
                        while (System.in.read() >= 0) {
                            continue;
                        }
                    } catch (IOException e) {
                        // Treated as closed.
                    }
                    System.exit(0);
                },
                "parent");
        thread.setDaemon(true);
        thread.start();
    }
}
