package pondridge.demo;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.channel.EventLoop;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.StringJoiner;
import java.util.function.Consumer;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import pondridge.Balancer.EndpointListKind;
import pondridge.Balancer.UpstreamState;
import pondridge.BalancerOptions;
import pondridge.core.Json;
import pondridge.core.Target;
import pondridge.gateway.Gateway;
import pondridge.standin.DiscoveryStandin;

/**
 * A gateway that runs as a process of the packaged jar, with its own discovery agent. It binds ephemeral ports
 * and logs their numbers.
 */
final class ProcessGateway implements GatewayHandle {
    private static final Pattern LISTEN_ADDRESSES = Pattern.compile("clients at \\S*?:(\\d+), sites at \\S*?:(\\d+)");
    private static final int MAX_SOCKETS = 4096;
    private final ChildProcess child;
    private final DiscoveryStandin discoveryAgent;
    private final Gateway.ListenAddresses addresses;
    private volatile long updateDelayNanos;
    private boolean killed;

    /**
     * Starts one and waits until it listens.
     *
     * @param folder for its settings files
     * @param toml its settings; they name the platform's file {@code name.json}, which is written here
     * @param listener receives each line of its log
     */
    ProcessGateway(
            String name,
            Path folder,
            EventLoop loop,
            String toml,
            BalancerOptions options,
            List<Target> targets,
            long seed,
            Consumer<ChildProcess.LogLine> listener)
            throws IOException {
        this.discoveryAgent = new DiscoveryStandin(
                loop, new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), entries(targets));
        ObjectNode platform = Json.MAPPER
                .createObjectNode()
                .put("name", name)
                .put("listen", "127.0.0.1:0")
                .put("discovery", "127.0.0.1:" + discoveryAgent.address().getPort())
                .put("seed", Long.toHexString(seed));
        StringJoiner lines = new StringJoiner(",", "{\"rev\":1,\"all\":true,\"targets\":[", "]}");
        entries(targets).forEach(each -> lines.add(each.json()));
        platform.set("known", Json.MAPPER.readTree(lines.toString()));
        platform.putObject("limits").put("sockets", MAX_SOCKETS);
        ObjectNode settings = platform.putObject("settings");
        options.withOverrides("discovery=subscribe").asMap().forEach(settings::put);
        Files.writeString(folder.resolve(name + ".json"), platform.toString());
        Path file = Files.writeString(folder.resolve(name + ".toml"), toml);
        this.child = ChildProcess.start(
                name,
                "pondridge.cli.Bankflow",
                List.of("gateway", "--with-parent", "--config", file.toString()),
                Map.of(),
                listener);
        Matcher addressMatcher =
                LISTEN_ADDRESSES.matcher(child.awaitLine(line -> line.event().equals("started"))
                        .json()
                        .path("detail")
                        .asText());
        if (!addressMatcher.find()) {
            child.kill();
            throw new IOException(name + ": no listen addresses in its \"started\" log line");
        }
        this.addresses = new Gateway.ListenAddresses(local(addressMatcher.group(1)), local(addressMatcher.group(2)));
    }

    private static InetSocketAddress local(String port) {
        return new InetSocketAddress(InetAddress.getLoopbackAddress(), Integer.parseInt(port));
    }

    private static List<DiscoveryStandin.Entry> entries(List<Target> targets) {
        return targets.stream()
                .map(each -> new DiscoveryStandin.Entry(
                        each.uid(),
                        each.endpoint(),
                        each.zone(),
                        each.state() == UpstreamState.READY
                                ? "SERVING"
                                : each.state() == UpstreamState.DRAINING ? "DRAINING" : "DELETED",
                        each.startedMs()))
                .toList();
    }

    ChildProcess child() {
        return child;
    }

    /** Delays later updates of the endpoint list by this time. */
    void delayUpdates(long nanos) {
        updateDelayNanos = nanos;
    }

    @Override
    public Gateway.ListenAddresses addresses() {
        return addresses;
    }

    @Override
    public void updateTargets(EndpointListKind kind, List<Target> targets) {
        discoveryAgent.updateEntries(entries(targets), updateDelayNanos);
    }

    @Override
    public long count(String counter) {
        return 0;
    }

    @Override
    public boolean idle() {
        return true;
    }

    @Override
    public double cpuNanos() {
        return child.cpuNanos();
    }

    @Override
    public void kill() {
        child.kill();
        killed = true;
    }

    @Override
    public void close() {
        if (!killed) {
            child.close();
        }
        discoveryAgent.close();
    }
}
