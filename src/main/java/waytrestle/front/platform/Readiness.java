package waytrestle.front.platform;

/** A result of the readiness check, with the body and the HTTP status of its response. */
enum Readiness {
    STARTING("starting", 503),
    READY("ready", 200),
    SHUTTING_DOWN("stopping", 503);

    private final String wireText;
    private final int status;

    Readiness(String wireText, int status) {
        this.wireText = wireText;
        this.status = status;
    }

    String wireText() {
        return wireText;
    }

    int status() {
        return status;
    }
}
