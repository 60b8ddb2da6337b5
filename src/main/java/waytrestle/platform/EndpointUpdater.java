package waytrestle.platform;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import waytrestle.controller.Controller;
import waytrestle.discovery.watch.WatchEvent;
import waytrestle.scheduler.EndpointState;
import waytrestle.scheduler.InvokerEndpoint;
import waytrestle.scheduler.SchedulerEvent.EndpointsUpdated;

/**
 * Applies watch events to the controller's endpoint list, the invokers' addresses and the start
 * times of the invokers' processes.
 *
 * <p>Not thread-safe: used by the controller's event loop.
 */
final class EndpointUpdater {
    private final Controller controller;
    private final InvokerAddresses addresses;
    private final ProcessStartTimes startTimes;

    EndpointUpdater(
            Controller controller, InvokerAddresses addresses, ProcessStartTimes startTimes) {
        this.controller = controller;
        this.addresses = addresses;
        this.startTimes = startTimes;
    }

    /**
     * Applies one event, which must not be a heartbeat. Addresses are set before the controller is
     * notified, since it may connect at once. They are removed after the controller has been
     * notified, since it may still close connections.
     */
    void apply(WatchEvent event) {
        List<InvokerEndpoint> endpoints = new ArrayList<>(event.endpoints().size());
        for (WatchEvent.Endpoint listed : event.endpoints()) {
            endpoints.add(toInvokerEndpoint(listed));
            updateAddress(listed);
        }
        controller.endpointsUpdated(new EndpointsUpdated(event.snapshot(), false, endpoints));
        if (event.snapshot()) {
            retainOnly(endpoints);
        }
        removeGone(event);
    }

    private InvokerEndpoint toInvokerEndpoint(WatchEvent.Endpoint listed) {
        return new InvokerEndpoint(
                listed.id(),
                listed.zone(),
                listed.cell(),
                listed.kind(),
                listed.state(),
                listed.weight(),
                startTimes.startedAtMicros(listed.id(), listed.startedAtUnixMillis()));
    }

    private void updateAddress(WatchEvent.Endpoint listed) {
        if (listed.state() == EndpointState.GONE) {
            return;
        }
        boolean moved = addresses.update(listed.id(), listed.address());
        if (moved) {
            controller.addressChanged(listed.id());
        }
    }

    private void retainOnly(List<InvokerEndpoint> endpoints) {
        Set<String> invokers = new HashSet<>();
        for (InvokerEndpoint endpoint : endpoints) {
            invokers.add(endpoint.id());
        }
        addresses.retainOnly(invokers);
        startTimes.retainOnly(invokers);
    }

    private void removeGone(WatchEvent event) {
        for (WatchEvent.Endpoint listed : event.endpoints()) {
            if (listed.state() == EndpointState.GONE) {
                addresses.remove(listed.id());
                startTimes.remove(listed.id());
            }
        }
    }
}
