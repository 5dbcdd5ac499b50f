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
import pondridge.Balancer.ListKind;
import pondridge.Balancer.State;
import pondridge.Options;
import pondridge.core.Json;
import pondridge.core.Target;
import pondridge.gateway.Gateway;
import pondridge.standin.DiscoveryStandin;

/**
 * A gateway as a process of the shipped program, with an agent of discovery of its own. It draws its ports
 * itself and says in its log which.
 */
final class ProcessGateway implements GatewayHost {
    private static final Pattern DOORS = Pattern.compile("clients at \\S*?:(\\d+), sites at \\S*?:(\\d+)");
    private static final int SOCKETS = 4096;
    private final Child child;
    private final DiscoveryStandin agent;
    private final Gateway.Doors doors;
    private volatile long listLate;
    private boolean dead;

    /**
     * Starts one and waits until it listens.
     *
     * @param folder where its files go
     * @param toml its settings but for the platform's file, which is named {@code name.json}
     * @param listener told of each line of its log
     */
    ProcessGateway(
            String name,
            Path folder,
            EventLoop loop,
            String toml,
            Options options,
            List<Target> known,
            long seed,
            Consumer<Child.Line> listener)
            throws IOException {
        this.agent =
                new DiscoveryStandin(loop, new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), entries(known));
        ObjectNode platform = Json.MAPPER
                .createObjectNode()
                .put("name", name)
                .put("listen", "127.0.0.1:0")
                .put("discovery", "127.0.0.1:" + agent.address().getPort())
                .put("seed", Long.toHexString(seed));
        StringJoiner lines = new StringJoiner(",", "{\"rev\":1,\"all\":true,\"targets\":[", "]}");
        entries(known).forEach(each -> lines.add(each.json()));
        platform.set("known", Json.MAPPER.readTree(lines.toString()));
        platform.putObject("limits").put("sockets", SOCKETS);
        ObjectNode settings = platform.putObject("settings");
        options.with("discovery=subscribe").lines().forEach(settings::put);
        Files.writeString(folder.resolve(name + ".json"), platform.toString());
        Path file = Files.writeString(folder.resolve(name + ".toml"), toml);
        this.child = Child.start(
                name,
                "pondridge.cli.Bankflow",
                List.of("gateway", "--with-parent", "--config", file.toString()),
                Map.of(),
                listener);
        Matcher told = DOORS.matcher(child.await(line -> line.event().equals("started"))
                .json()
                .path("detail")
                .asText());
        if (!told.find()) {
            child.kill();
            throw new IOException(name + " doesn't say where it listens");
        }
        this.doors = new Gateway.Doors(local(told.group(1)), local(told.group(2)));
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
                        each.state() == State.READY
                                ? "SERVING"
                                : each.state() == State.DRAINING ? "DRAINING" : "DELETED",
                        each.startedMs()))
                .toList();
    }

    Child child() {
        return child;
    }

    /** From now on what the list says comes so much later, in nanoseconds. */
    void listLate(long nanos) {
        listLate = nanos;
    }

    @Override
    public Gateway.Doors doors() {
        return doors;
    }

    @Override
    public void listed(ListKind kind, List<Target> targets) {
        agent.change(entries(targets), listLate);
    }

    @Override
    public long count(String of) {
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
        dead = true;
    }

    @Override
    public void close() {
        if (!dead) {
            child.close();
        }
        agent.close();
    }
}
