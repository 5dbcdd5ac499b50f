package pondridge.standin.redis;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Consumer;

/** What the server keeps of one connection. */
final class Session {
    final long id;
    /** Where replies go that were not asked for. */
    final Consumer<Reply> pushes;

    final Set<String> channels = new TreeSet<>();
    final Set<String> watched = new HashSet<>();
    boolean resp3;
    boolean known;
    int db;
    String name = "";
    List<List<String>> queued;
    boolean queueBroken;
    boolean dirty;
    boolean ends;

    Session(long id, boolean known, Consumer<Reply> pushes) {
        this.id = id;
        this.known = known;
        this.pushes = pushes;
    }

    /** Begins to queue, for {@code MULTI}. */
    void queue() {
        queued = new ArrayList<>();
        queueBroken = false;
    }

    /** Back to plain, after {@code EXEC} or {@code DISCARD}. */
    void plain() {
        queued = null;
        watched.clear();
        dirty = false;
    }
}
