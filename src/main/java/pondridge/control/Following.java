package pondridge.control;

import io.netty.channel.EventLoop;
import java.util.List;
import pondridge.core.Engine;
import pondridge.core.Target;

/** A sidecar whose lists come by control in place of discovery. */
public final class Following {
    private Following() {}

    /** Starts the engine with what is known and follows from now on; on the loop. */
    public static void begin(EventLoop loop, Engine engine, ControlSettings settings, List<Target> known) {
        ControlClient client = new ControlClient(
                loop,
                settings,
                (version, kind, targets, others) -> engine.listed(kind, targets),
                (event, peer, detail) -> System.err.println("control: " + event + ' ' + peer + ' ' + detail),
                new Traffic());
        engine.start(client, known);
        client.start();
    }
}
