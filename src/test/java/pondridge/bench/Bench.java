package pondridge.bench;

/** Entry point of the benchmarks: the argument names one. */
public final class Bench {
    private Bench() {}

    /** Runs one benchmark, which prints lines of key=value pairs. */
    public static void main(String[] args) throws Exception {
        switch (args.length == 1 ? args[0] : "") {
            case "http2" -> new Http2Bench().run();
            case "gateway" -> new GatewayBench().run();
            case "store" -> new StoreBench().run();
            case "grpc" -> new GrpcBench().run();
            case "request-path" -> new RequestPathBench().run();
            case "scale" -> new ScaleBench().run();
            case "gateway-soak" -> new GatewaySoak().run();
            default -> {
                System.err.println("bench: expected -Dbench=http2, gateway, gateway-soak, grpc, store, "
                        + "request-path or scale");
                System.exit(2);
            }
        }
        System.exit(0);
    }
}
