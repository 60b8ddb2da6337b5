package waytrestle.cli;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.encoder.JsonEncoder;
import ch.qos.logback.classic.encoder.PatternLayoutEncoder;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.ConsoleAppender;
import ch.qos.logback.core.encoder.Encoder;
import org.slf4j.LoggerFactory;

/** Sends log lines to standard error, as text or as a JSON object a line. */
final class Logs {
    private Logs() {}

    static void to(boolean json, String level) {
        LoggerContext context = (LoggerContext) LoggerFactory.getILoggerFactory();
        context.reset();
        Encoder<ILoggingEvent> encoder;
        if (json) {
            JsonEncoder made = new JsonEncoder();
            made.setContext(context);
            made.start();
            encoder = made;
        } else {
            PatternLayoutEncoder made = new PatternLayoutEncoder();
            made.setContext(context);
            made.setPattern("%d{yyyy-MM-dd'T'HH:mm:ss.SSSXXX} %-5level %logger{0} %msg%n");
            made.start();
            encoder = made;
        }
        ConsoleAppender<ILoggingEvent> console = new ConsoleAppender<>();
        console.setContext(context);
        console.setTarget("System.err");
        console.setEncoder(encoder);
        console.start();
        Logger root = context.getLogger(org.slf4j.Logger.ROOT_LOGGER_NAME);
        root.setLevel(Level.toLevel(level, Level.INFO));
        root.addAppender(console);
    }
}
