package pondridge.control;

import io.netty.channel.EventLoop;
import java.util.List;
import pondridge.core.Engine;
import pondridge.core.Target;

/** Connects a sidecar to the control plane, as its source of endpoint lists in place of discovery. */
public final class SidecarControl {
    private SidecarControl() {}

    /** Starts the engine with the known targets and follows changes from then on. Call on the event loop. */
    public static void start(EventLoop loop, Engine engine, ControlSettings settings, List<Target> knownTargets) {
        ControlClient client = new ControlClient(
                loop,
                settings,
                (version, kind, targets, changedSettings) -> engine.updateEndpoints(kind, targets),
                (event, peer, detail) -> System.err.println("control: " + event + ' ' + peer + ' ' + detail),
                new Traffic());
        engine.start(client, knownTargets);
        client.start();
    }
}
