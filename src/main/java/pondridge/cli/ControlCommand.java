package pondridge.cli;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import pondridge.control.ControlClient;
import pondridge.control.ControlRelay;
import pondridge.control.ControlSettings;
import pondridge.control.ControlSource;
import pondridge.control.EventLog;
import pondridge.control.Traffic;
import pondridge.settings.SettingsException;

/** Runs a source of endpoint lists and settings, a relay, or a follower that only logs updates, until SIGTERM. */
@Command(
        name = "control",
        description = "Runs a source, a relay or a follower of endpoint lists and settings until SIGTERM.")
final class ControlCommand implements Callable<Integer> {
    @Option(
            names = "--settings",
            required = true,
            paramLabel = "FILE",
            description = "the TOML file; role in [control] selects what runs")
    private Path file;

    @Option(names = "--with-parent", description = "shut down, as at SIGTERM, when standard input is closed")
    private boolean withParent;

    @Override
    public Integer call() throws InterruptedException, IOException {
        ControlSettings settings = ControlSettings.read(file);
        EventLog events = EventLog.jsonLines(settings.instance());
        MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        EventLoop loop = group.next();
        try {
            InetSocketAddress address =
                    switch (settings.role()) {
                        case SOURCE -> new ControlSource(loop, settings, events, new Traffic())
                                .start()
                                .get();
                        case RELAY -> new ControlRelay(loop, settings, events, new Traffic(), new Traffic())
                                .start()
                                .get();
                        case FOLLOWER -> {
                            new ControlClient(
                                            loop,
                                            settings,
                                            (version, kind, targets, others) -> events.report(
                                                    "applied",
                                                    "",
                                                    version + " " + kind + ' ' + targets.size() + " entries "
                                                            + others.size() + " settings"),
                                            events,
                                            new Traffic())
                                    .start();
                            yield null;
                        }
                        case OFF -> throw new SettingsException(
                                file.toString(), "control.role", "expected source, relay or follower, found off");
                    };
            events.report(
                    "ready",
                    "",
                    address == null ? "" : address.getAddress().getHostAddress() + ':' + address.getPort());
            if (withParent) {
                ParentWatcher.exitWithParent();
            }
            new CountDownLatch(1).await();
            return CommandLine.ExitCode.OK;
        } catch (ExecutionException e) {
            throw new IOException(e.getCause().getMessage(), e.getCause());
        } finally {
            group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
        }
    }
}
