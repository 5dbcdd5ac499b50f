package pondridge;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;
import static com.tngtech.archunit.library.Architectures.layeredArchitecture;

import com.tngtech.archunit.core.importer.ImportOption;
import com.tngtech.archunit.junit.AnalyzeClasses;
import com.tngtech.archunit.junit.ArchTest;
import com.tngtech.archunit.lang.ArchRule;

/** Dependencies allowed between packages, and no I/O or clock access in decision logic. */
@AnalyzeClasses(packages = "pondridge", importOptions = ImportOption.DoNotIncludeTests.class)
class ArchitectureTest {
    @ArchTest
    static final ArchRule PACKAGE_DEPENDENCIES = layeredArchitecture()
            .consideringOnlyDependenciesInLayers()
            .layer("balancer")
            .definedBy("pondridge")
            .layer("adapter")
            .definedBy("pondridge.adapter")
            .layer("core")
            .definedBy("pondridge.core")
            .layer("settings")
            .definedBy("pondridge.settings")
            .layer("http1")
            .definedBy("pondridge.http1")
            .layer("pool")
            .definedBy("pondridge.pool")
            .layer("http2")
            .definedBy("pondridge.http2")
            .layer("grpc")
            .definedBy("pondridge.grpc")
            .layer("transport")
            .definedBy("pondridge.transport")
            .layer("gateway")
            .definedBy("pondridge.gateway")
            .layer("standin")
            .definedBy("pondridge.standin..")
            .layer("store")
            .definedBy("pondridge.store")
            .layer("platform")
            .definedBy("pondridge.platform")
            .layer("control")
            .definedBy("pondridge.control")
            .layer("siteloss")
            .definedBy("pondridge.siteloss")
            .layer("demo")
            .definedBy("pondridge.demo")
            .layer("sidecar")
            .definedBy("pondridge.sidecar")
            .layer("lab")
            .definedBy("pondridge.lab")
            .layer("scale")
            .definedBy("pondridge.scale")
            .layer("cli")
            .definedBy("pondridge.cli")
            .whereLayer("adapter")
            .mayNotBeAccessedByAnyLayer()
            .whereLayer("core")
            .mayOnlyAccessLayers("balancer")
            .whereLayer("settings")
            .mayNotAccessAnyLayer()
            .whereLayer("http1")
            .mayOnlyAccessLayers("balancer", "core")
            .whereLayer("pool")
            .mayNotAccessAnyLayer()
            .whereLayer("http2")
            .mayOnlyAccessLayers("balancer", "core", "settings", "pool")
            .whereLayer("grpc")
            .mayOnlyAccessLayers("balancer", "core", "settings", "http2")
            .whereLayer("transport")
            .mayOnlyAccessLayers("balancer", "core", "settings", "http1", "http2", "grpc")
            .whereLayer("gateway")
            .mayOnlyAccessLayers(
                    "balancer",
                    "core",
                    "settings",
                    "http1",
                    "http2",
                    "transport",
                    "store",
                    "grpc",
                    "siteloss",
                    "control")
            .whereLayer("store")
            .mayOnlyAccessLayers("balancer", "core", "settings")
            .whereLayer("control")
            .mayOnlyAccessLayers("balancer", "core", "settings")
            .whereLayer("siteloss")
            .mayOnlyAccessLayers("settings")
            .whereLayer("demo")
            .mayOnlyBeAccessedByLayers("cli", "scale")
            .whereLayer("scale")
            .mayOnlyBeAccessedByLayers("cli")
            .whereLayer("standin")
            .mayNotAccessAnyLayer()
            .whereLayer("standin")
            .mayOnlyBeAccessedByLayers("cli", "demo", "scale")
            .whereLayer("platform")
            .mayOnlyAccessLayers("balancer", "core")
            .whereLayer("sidecar")
            .mayOnlyAccessLayers(
                    "balancer", "core", "http1", "platform", "transport", "settings", "store", "grpc", "control")
            .whereLayer("sidecar")
            .mayOnlyBeAccessedByLayers("cli")
            .whereLayer("lab")
            .mayOnlyAccessLayers("balancer")
            .whereLayer("lab")
            .mayNotBeAccessedByAnyLayer()
            .whereLayer("cli")
            .mayNotBeAccessedByAnyLayer();

    @ArchTest
    static final ArchRule BALANCER_HAS_NO_IO = noClasses()
            .that()
            .resideInAPackage("pondridge")
            .should()
            .dependOnClassesThat()
            .resideInAnyPackage(
                    "io.netty..",
                    "java.io..",
                    "java.net..",
                    "java.nio.channels..",
                    "java.nio.file..",
                    "com.fasterxml..",
                    "java.util.concurrent..");

    /** Classes with decision logic in all packages; new ones are added here. */
    private static final String DECISION_CLASSES =
            ".*\\.(StreamTable|StreamOutcomeRules|Liveness|ResetBudget|FloodGuard|ProtocolDetector|ColdStart"
                    + "|PollTimes|ReadProgress|ServerStartEstimate|Router|AttemptHistory"
                    + "|LinkRttEstimator|ConnectionPool|SharedConnectionLimit|CrossSiteBudget|ServerStartTimes"
                    + "|LocalSiteHealth|LocalSloMonitor|SiteStateReports"
                    + "|EchoedTimestamps|IdempotencyCache|CreditControl|Log.LineRateLimiter|BufferBudget"
                    + "|ThreadPoolModel|Keyspace|Commands"
                    + "|RequestParser|StoreCircuitBreaker|LocalAttemptStats|FleetMembership|Leases"
                    + "|RequestRateEstimate|PeerOutlierDetector|ServerStats"
                    + "|PeerReport|Topology|SiteLossPlan|SiteLossPlanner|RequestAdmission|SiteFailoverRouting"
                    + "|ScalePlan.Step|Schedule|PropagationTracker|Slope"
                    + "|Version|Digest|Resource|ResourceStore|TokenBucket|PropagationStatus|Hello|FollowerState"
                    + "|UpdateScheduler|SourceState|PropagationLatency"
                    + "|RelaySelector|NameRanges"
                    + "|GrpcCode|GrpcTimeout|MessageReader|LocalStatus|MethodTable"
                    + "|lab\\.(Simulation|ColdStartBudget|EventQueue|SimulationScenario"
                    + "|SimulationResult|SimulatedServers))";

    @ArchTest
    static final ArchRule DECISION_CLASSES_HAVE_NO_IO = noClasses()
            .that()
            .haveNameMatching(DECISION_CLASSES)
            .should()
            .dependOnClassesThat()
            .resideInAnyPackage(
                    "io.netty..",
                    "java.io..",
                    "java.net..",
                    "java.nio.channels..",
                    "java.nio.file..",
                    "java.util.concurrent..")
            .orShould()
            .callMethod(System.class, "nanoTime")
            .orShould()
            .callMethod(System.class, "currentTimeMillis");
}
