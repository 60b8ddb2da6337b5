package waytrestle;

import static com.tngtech.archunit.core.domain.JavaAccess.Predicates.target;
import static com.tngtech.archunit.core.domain.JavaClass.Predicates.assignableTo;
import static com.tngtech.archunit.core.domain.properties.HasName.Predicates.name;
import static com.tngtech.archunit.core.domain.properties.HasOwner.Predicates.With.owner;
import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.classes;
import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;
import static org.junit.jupiter.api.Assertions.assertThrows;

import com.tngtech.archunit.base.DescribedPredicate;
import com.tngtech.archunit.core.domain.JavaClass;
import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import com.tngtech.archunit.lang.ArchRule;
import org.junit.jupiter.api.Test;
import waytrestle.http.HttpClient;
import waytrestle.requests.RequestOutcome;

/**
 * The layers: decisions know no I/O and no clock, front ends no invokers, and only test tools know
 * simulated invokers.
 */
class ArchitectureTest {
    private static final JavaClasses ALL =
            new ClassFileImporter()
                    .withImportOption(ImportOption.Predefined.DO_NOT_INCLUDE_TESTS)
                    .importPackages("waytrestle");

    private static final String PLAIN_JAVA = "java\\.(lang|util|util\\.function|util\\.stream)";

    /** What decisions may know beside plain Java. */
    private static final String DECISION_LAYER =
            "(\\[L)?waytrestle\\.(Bytes|(scheduler|stats|requests|overload|responses)\\.[A-Za-z]+"
                + "|discovery\\.(EndpointDirectory|PollFreshness)|discovery\\.watch\\.(WatchState|WatchEvent|ListFreshness)"
                + "|invoker\\.platform\\.PlatformResponseClassifier"
                + "|controller\\.FailureThreshold)(\\$.*)?;?";

    private static boolean isPlainJavaOrDecision(JavaClass type) {
        if (type.isArray()) {
            return type.getBaseComponentType().isPrimitive()
                    || type.getPackageName().startsWith("java.")
                    || type.getName().matches(DECISION_LAYER);
        }
        return type.isPrimitive()
                || type.getPackageName().matches(PLAIN_JAVA)
                || type.getName().matches(DECISION_LAYER);
    }

    private static ArchRule knowsDecisionsAndPlainJavaOnly(String... names) {
        return classes()
                .that()
                .haveNameMatching("waytrestle\\.(" + String.join("|", names) + ")(\\$.*)?")
                .should()
                .onlyDependOnClassesThat(
                        DescribedPredicate.describe(
                                "are decisions or plain Java",
                                ArchitectureTest::isPlainJavaOrDecision));
    }

    private static final String[] DECISIONS = {
        "scheduler\\.[A-Za-z]+",
        "stats\\.[A-Za-z]+",
        "requests\\.[A-Za-z]+",
        "discovery\\.(EndpointDirectory|PollFreshness)",
        "discovery\\.watch\\.(WatchState|ListFreshness)",
        "invoker\\.platform\\.PlatformResponseClassifier",
        "controller\\.FailureThreshold",
        "overload\\.[A-Za-z]+",
        "responses\\.[A-Za-z]+",
    };

    @Test
    void decisionsKnowNoInputOutputAndNoLibraries() {
        knowsDecisionsAndPlainJavaOnly(DECISIONS).check(ALL);
        assertThrows(
                AssertionError.class,
                () -> knowsDecisionsAndPlainJavaOnly("controller\\.Controller").check(ALL),
                "the rule catches a breach");
    }

    @Test
    void decisionsReadNoClockAndStartNoThreads() {
        noClasses()
                .that()
                .haveNameMatching("waytrestle\\.(" + String.join("|", DECISIONS) + ")(\\$.*)?")
                .should()
                .callMethod(System.class, "nanoTime")
                .orShould()
                .callMethod(System.class, "currentTimeMillis")
                .orShould()
                .dependOnClassesThat()
                .haveNameMatching(
                        "java\\.lang\\.Thread|java\\.util\\.Random"
                                + "|java\\.util\\.concurrent\\..*|java\\.util\\.Timer")
                .check(ALL);
    }

    @Test
    void frontEndsKnowNoInvokersAndNoScheduler() {
        noClasses()
                .that()
                .resideInAPackage("..front..")
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage(
                        "..invoker..",
                        "..gateway..",
                        "..controller..",
                        "waytrestle.platform..",
                        "..discovery..",
                        "..responses..")
                .check(ALL);
    }

    @Test
    void theNetworkLayersKnowNothingAboveThem() {
        noClasses()
                .that()
                .resideInAPackage("waytrestle.net")
                .should()
                .dependOnClassesThat(
                        JavaClass.Predicates.resideOutsideOfPackages("waytrestle.net", "java.."))
                .check(ALL);
        noClasses()
                .that()
                .resideInAPackage("waytrestle.http")
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage(
                        "..gateway..",
                        "..controller..",
                        "waytrestle.platform..",
                        "..requests..",
                        "..front..",
                        "..invoker..",
                        "..discovery..",
                        "..config..")
                .check(ALL);
    }

    @Test
    void onlyTestToolsKnowSimulatedInvokersAndScenarios() {
        noClasses()
                .that()
                .resideOutsideOfPackages(
                        "..standin..",
                        "..play..",
                        "..cli..",
                        "..audit..",
                        "..emulator..",
                        "..hunt..")
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage(
                        "..standin..", "..play..", "..audit..", "..emulator..", "..hunt..")
                .check(ALL);
    }

    @Test
    void theHistoryCheckerKnowsNothingOfTheGatewayButItsConfiguration() {
        noClasses()
                .that()
                .resideInAPackage("..audit..")
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage(
                        "..gateway..",
                        "..controller..",
                        "waytrestle.platform..",
                        "..requests..",
                        "..front..",
                        "..invoker..",
                        "..net..",
                        "..http..")
                .check(ALL);
    }

    @Test
    void theBenchAdapterLoadsNoLargeLibraries() {
        noClasses()
                .that()
                .resideInAPackage("waytrestle.bench")
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage(
                        "picocli..",
                        "org.slf4j..",
                        "ch.qos..",
                        "org.tomlj..",
                        "..databind..",
                        "waytrestle.net..",
                        "waytrestle.gateway..",
                        "waytrestle.controller..",
                        "waytrestle.platform..",
                        "waytrestle.config..")
                .check(ALL);
    }

    @Test
    void discoveryDoesNotDependOnTheConfiguration() {
        noClasses()
                .that()
                .resideInAPackage("..discovery..")
                .should()
                .dependOnClassesThat()
                .resideInAPackage("..config..")
                .check(ALL);
    }

    @Test
    void everySendToAnInvokerMayBeWithdrawnAndEveryRejectionIsMadeBesideTheRules() {
        noClasses()
                .that()
                .resideInAnyPackage("..platform..", "..gateway..", "..controller..")
                .and()
                .haveNameNotMatching("waytrestle\\.gateway\\.HttpInvokerClient(\\$.*)?")
                .should()
                .callMethodWhere(
                        target(owner(assignableTo(HttpClient.class))).and(target(name("call"))))
                .check(ALL);
        noClasses()
                .that()
                .resideOutsideOfPackage("waytrestle.requests")
                .should()
                .callConstructorWhere(target(owner(assignableTo(RequestOutcome.Rejected.class))))
                .check(ALL);
    }
}
