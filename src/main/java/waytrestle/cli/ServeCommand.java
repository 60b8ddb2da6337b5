package waytrestle.cli;

import java.nio.file.Path;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import waytrestle.config.GatewayConfig;
import waytrestle.controller.Controller;
import waytrestle.gateway.Gateway;
import waytrestle.play.RandomChoice;
import waytrestle.runtime.ProcessSignals;
import waytrestle.scheduler.FinishTimeScheduler;

/** Runs a gateway until it is told to stop. */
@Command(
        name = "serve",
        mixinStandardHelpOptions = true,
        description =
                "Run a gateway; TERM stops it gracefully, "
                        + "HUP reads secrets_file again and reopens the access log.")
final class ServeCommand implements Callable<Integer> {
    enum Policy {
        finish,
        random
    }

    @Option(
            names = "--config",
            required = true,
            paramLabel = "FILE",
            description = "The configuration, in TOML.")
    private Path config;

    @Option(
            names = "--log",
            defaultValue = "text",
            description = "Log lines as text or json; default ${DEFAULT-VALUE}.")
    private String log;

    @Option(
            names = "--level",
            defaultValue = "info",
            description = "Least level logged; default ${DEFAULT-VALUE}.")
    private String level;

    @Option(
            names = "--policy",
            defaultValue = "finish",
            hidden = true,
            description = "random: the baseline of comparisons, never for service.")
    private Policy policy;

    @Override
    public Integer call() throws Exception {
        Logs.to(log.equals("json"), level);
        GatewayConfig read = GatewayConfig.read(config);
        Controller.SchedulerFactory maker =
                policy == Policy.random ? RandomChoice::new : FinishTimeScheduler::new;
        Gateway gateway = Gateway.start(read, maker);
        Thread onTerm =
                new Thread(
                        () -> {
                            gateway.stop();
                            try {
                                gateway.join(read.shutdownGraceMicros() / 1_000 + 5_000);
                            } catch (InterruptedException e) {
                                Thread.currentThread().interrupt();
                            }
                        },
                        "stop");
        Runtime.getRuntime().addShutdownHook(onTerm);
        ProcessSignals.handle(ProcessSignals.RELOAD, gateway::reload);
        // Not by exit: the hook above waits for the loop, which is stuck.
        gateway.startWatchdog(Runtime.getRuntime()::halt);
        return gateway.join(0);
    }
}
