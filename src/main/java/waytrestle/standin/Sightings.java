package waytrestle.standin;

/** Where stand-ins and clients write what they saw on their sockets. */
public interface Sightings {
    /** One sighting: who saw it, what, and pairs of name and value (text or whole numbers). */
    void saw(String who, String what, Object... pairs);
}
