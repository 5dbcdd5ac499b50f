package pondridge.standin.redis;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Consumer;

/** The state of one client connection. */
final class Session {
    final long id;
    /** Receives messages that are not replies to a request. */
    final Consumer<Reply> pushes;

    final Set<String> subscribedChannels = new TreeSet<>();
    final Set<String> watchedKeys = new HashSet<>();
    boolean resp3;
    boolean authenticated;
    int database;
    String name = "";
    List<List<String>> queuedRequests;
    boolean transactionFailed;
    boolean watchedKeyChanged;
    boolean closing;

    Session(long id, boolean authenticated, Consumer<Reply> pushes) {
        this.id = id;
        this.authenticated = authenticated;
        this.pushes = pushes;
    }

    /** Starts to queue requests, for {@code MULTI}. */
    void beginTransaction() {
        queuedRequests = new ArrayList<>();
        transactionFailed = false;
    }

    /** Ends the transaction, after {@code EXEC} or {@code DISCARD}. */
    void endTransaction() {
        queuedRequests = null;
        watchedKeys.clear();
        watchedKeyChanged = false;
    }
}
