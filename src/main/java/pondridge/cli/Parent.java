package pondridge.cli;

import java.io.IOException;

/** The process that started this one, as its end of this one's standard input shows it. */
final class Parent {
    private Parent() {}

    /** From now on this process ends, as at SIGTERM, when its standard input does. */
    static void watch() {
        Thread thread = new Thread(
                () -> {
                    try {
                        while (System.in.read() >= 0) {
                            continue;
                        }
                    } catch (IOException e) {
                        // As good as its end.
                    }
                    System.exit(0);
                },
                "parent");
        thread.setDaemon(true);
        thread.start();
    }
}
