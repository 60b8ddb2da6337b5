package waytrestle.responses;

import java.util.EnumMap;
import java.util.HashMap;
import java.util.Map;

/**
 * Keeps the evidence on declared capabilities, each invoker by itself, and warns once of each
 * capability that an invoker lacks.
 *
 * <p>Not thread-safe: used by the controller's event loop.
 */
final class CapabilityEvidenceTable {
    /** Receives warnings. */
    interface WarningListener {
        /**
         * An invoker lacks a declared capability.
         *
         * @param unreported whether it mostly reports nothing; otherwise what it reports is wrong
         */
        void warn(String invoker, DeclaredCapability capability, boolean unreported);
    }

    private final WarningListener listener;
    private final Map<String, Map<DeclaredCapability, CapabilityEvidence>> byInvoker =
            new HashMap<>();

    CapabilityEvidenceTable(WarningListener listener) {
        this.listener = listener;
    }

    /** Forgets an invoker that has left. */
    void remove(String invoker) {
        byInvoker.remove(invoker);
    }

    /** The evidence on all capabilities of an invoker that were of concern so far. */
    Map<DeclaredCapability, CapabilityEvidence> evidenceOf(String invoker) {
        return byInvoker.getOrDefault(invoker, Map.of());
    }

    private CapabilityEvidence evidence(String invoker, DeclaredCapability capability) {
        return byInvoker
                .computeIfAbsent(invoker, id -> new EnumMap<>(DeclaredCapability.class))
                .computeIfAbsent(capability, key -> new CapabilityEvidence());
    }

    /** A response did not report what was declared. */
    void addUnreported(String invoker, DeclaredCapability capability) {
        CapabilityEvidence evidence = evidence(invoker, capability);
        evidence.addUnreported();
        if (evidence.isMostlyUnreported() && evidence.markWarned()) {
            listener.warn(invoker, capability, true);
        }
    }

    /** A response reported what cannot be checked yet. */
    void addUnchecked(String invoker, DeclaredCapability capability) {
        evidence(invoker, capability).addUnchecked();
    }

    /** A response was checked against what was declared. */
    void addChecked(String invoker, DeclaredCapability capability, boolean held) {
        CapabilityEvidence evidence = evidence(invoker, capability);
        evidence.addChecked(held);
        if (evidence.isMostlyRefuted() && evidence.markWarned()) {
            listener.warn(invoker, capability, false);
        }
    }

    /** Whether reports of an invoker are to be believed. */
    boolean isTrusted(String invoker, DeclaredCapability capability) {
        return evidence(invoker, capability).isTrusted();
    }
}
