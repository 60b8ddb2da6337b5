package waytrestle.platform;

import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;

/**
 * Holds the address of each listed invoker, by the invoker's id.
 *
 * <p>Not thread-safe: used by the controller's event loop.
 */
final class InvokerAddresses {
    private final Map<String, InetSocketAddress> byInvoker = new HashMap<>();

    /** Sets an invoker's address; returns true if the invoker had a different one before. */
    boolean update(String invoker, InetSocketAddress address) {
        InetSocketAddress previous = byInvoker.put(invoker, address);
        return previous != null && !previous.equals(address);
    }

    /** Returns the address of an invoker, or null if the invoker is not listed. */
    InetSocketAddress get(String invoker) {
        return byInvoker.get(invoker);
    }

    /** Removes an invoker's address; does nothing if the invoker is not listed. */
    void remove(String invoker) {
        byInvoker.remove(invoker);
    }

    /** Removes the addresses of all invokers that are not in the set. */
    void retainOnly(Set<String> invokers) {
        byInvoker.keySet().retainAll(invokers);
    }

    /** Returns the number of invokers whose address is known. */
    int size() {
        return byInvoker.size();
    }
}
