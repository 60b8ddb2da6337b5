package waytrestle.scheduler;

import waytrestle.scheduler.SchedulerCommand.SetTimer;
import waytrestle.scheduler.SchedulerCommand.SubscribeToEndpoints;
import waytrestle.scheduler.SchedulerEvent.AttemptCompleted;
import waytrestle.scheduler.SchedulerEvent.EndpointUpdateFailed;
import waytrestle.scheduler.SchedulerEvent.EndpointsUpdated;
import waytrestle.scheduler.SchedulerEvent.HealthCheckCompleted;
import waytrestle.scheduler.SchedulerEvent.ListFreshnessChanged;
import waytrestle.scheduler.SchedulerEvent.PreloadCompleted;
import waytrestle.scheduler.SchedulerEvent.RequestAbandoned;
import waytrestle.scheduler.SchedulerEvent.RequestReceived;
import waytrestle.scheduler.SchedulerEvent.StreamStarted;
import waytrestle.scheduler.SchedulerEvent.TimerExpired;
import waytrestle.scheduler.SchedulerTimer.EndpointResubscription;
import waytrestle.scheduler.SchedulerTimer.Maintenance;
import waytrestle.scheduler.SchedulerTimer.QueuedRequestRetry;
import waytrestle.scheduler.SchedulerTimer.RequestDeadline;

/**
 * The request scheduler. For each request it estimates each invoker's finish time as time in the
 * queue plus run time plus, if the function is not loaded there, load time. It sends the request to
 * the invoker with the lowest estimate, and rejects the request early when even that estimate
 * exceeds the time left. All other rules filter the candidates or correct a term of the estimate.
 *
 * <p>This class receives the events, keeps count of requests and attempts, and passes each event to
 * the part that decides. In the order of a request's path the parts are {@link RequestRouter},
 * {@link InvokerSelector}, {@link FinishTimeEstimate}, {@link SlowStartBudget}, {@link RetryRules},
 * {@link ResponseLearner}, {@link InvokerBackoff}, {@link ReadinessLeases}, {@link PreloadPlanner},
 * {@link StateMaintenance} and {@link FunctionEviction}. All parts share one {@link
 * SchedulerState}.
 *
 * <p>Not thread-safe: all calls come from the controller's event loop.
 */
public final class FinishTimeScheduler implements RequestScheduler {
    private final SchedulerState state;
    private final FunctionEviction functionEviction;
    private final RequestRouter router;
    private final ResponseLearner learner;
    private final PreloadPlanner preloads;
    private final StateMaintenance maintenance;
    private final EndpointTracker endpoints;
    private final ReadinessLeases leases;
    private boolean started;

    /**
     * Creates a scheduler that knows no invoker yet. Schedulers with equal settings, seeds and
     * events issue equal commands.
     */
    public FinishTimeScheduler(SchedulerSettings settings, long seed) {
        state = new SchedulerState(settings, seed);
        functionEviction = new FunctionEviction(state);
        FinishTimeEstimate estimate = new FinishTimeEstimate(state);
        SlowStartBudget slowStart = new SlowStartBudget(state, estimate);
        RetryRules retryRules = new RetryRules(state);
        InvokerBackoff backoff = new InvokerBackoff(state);
        leases = new ReadinessLeases(state);
        InvokerSelector selector =
                new InvokerSelector(state, estimate, backoff, leases, slowStart, retryRules);
        learner = new ResponseLearner(state, estimate, backoff);
        preloads = new PreloadPlanner(state, backoff, leases, learner);
        router =
                new RequestRouter(
                        state, estimate, selector, leases, slowStart, preloads, retryRules);
        endpoints = new EndpointTracker(state, leases);
        maintenance = new StateMaintenance(state, backoff, preloads, endpoints);
    }

    @Override
    public void handle(long nowMicros, SchedulerEvent event, SchedulerCommand.Sink commands) {
        state.now = nowMicros;
        state.commands = commands;
        state.estimateMicros = NO_ESTIMATE;
        if (event instanceof RequestReceived received) {
            requestReceived(received);
        } else if (event instanceof AttemptCompleted completed) {
            attemptCompleted(completed);
        } else if (event instanceof PreloadCompleted completed) {
            preloads.preloadCompleted(completed);
        } else if (event instanceof HealthCheckCompleted completed) {
            healthCheckCompleted(completed);
        } else if (event instanceof ListFreshnessChanged changed) {
            leases.freshnessChanged(changed);
        } else if (event instanceof TimerExpired expired) {
            timerExpired(expired.timer());
        } else if (event instanceof EndpointsUpdated updated) {
            endpointsUpdated(updated);
        } else if (event instanceof EndpointUpdateFailed) {
            maintenance.scheduleResubscription();
        } else if (event instanceof StreamStarted stream) {
            streamStarted(stream);
        } else if (event instanceof RequestAbandoned abandoned) {
            state.endRequest(state.requests.get(abandoned.id()));
        }
    }

    @Override
    public boolean mayStartWork(String invoker, long nowMicros) {
        InvokerState known = state.invokers.find(invoker);
        return known == null || leases.mayStartWork(known, nowMicros);
    }

    @Override
    public long estimateMicros() {
        return state.estimateMicros;
    }

    @Override
    public int rememberedFunctions() {
        return state.functions.size();
    }

    @Override
    public long examinedInvokers() {
        return state.examinedInvokers;
    }

    private void requestReceived(RequestReceived event) {
        functionEviction.makeRoom();
        RequestState request = state.addRequest(event);
        long untilDeadlineMicros =
                Math.max(1, event.timeLeftMicros() - state.settings.tickMicros());
        state.commands.add(new SetTimer(untilDeadlineMicros, new RequestDeadline(request.id)));
        router.route(request);
    }

    private void attemptCompleted(AttemptCompleted event) {
        RequestState request = state.requests.get(event.id());
        if (request == null || event.attempt() < 0 || event.attempt() >= request.attempts.size()) {
            return;
        }
        AttemptState attempt = request.attempts.get(event.attempt());
        if (attempt.completed) {
            return;
        }
        request.completeAttempt(attempt);
        learner.learn(request, attempt, event);
        if (request.completed && request.inFlight == 0) {
            state.requests.remove(request.id);
        } else if (event.isFinal()) {
            state.endRequest(request);
        } else if (!request.completed) {
            router.retry(request, attempt, event.code());
        }
    }

    /**
     * Records the result of a health check. Requests the preloads deferred until then if the
     * invoker may get new work, and routes the requests that waited for the check, whatever its
     * result.
     */
    private void healthCheckCompleted(HealthCheckCompleted event) {
        InvokerState invoker = state.invokers.find(event.invoker());
        if (invoker == null) {
            return;
        }
        leases.checkCompleted(invoker, event);
        invoker.readinessLease
                .takeDeferredPreloads()
                .forEach((function, instances) -> preloadIfReady(invoker, function, instances));
        for (long id : invoker.readinessLease.takeWaitingRequests()) {
            routeQueued(state.requests.get(id));
        }
    }

    private void preloadIfReady(InvokerState invoker, FunctionState function, int instances) {
        if (leases.mayStartWork(invoker)) {
            preloads.preload(invoker, function, instances);
        }
    }

    private void routeQueued(RequestState request) {
        if (request != null && request.isUndecided() && request.queued) {
            router.route(request);
        }
    }

    private void streamStarted(StreamStarted event) {
        RequestState request = state.requests.get(event.id());
        if (request != null && !request.completed) {
            request.streaming = true;
            request.mayHaveRun = true;
        }
    }

    private void endpointsUpdated(EndpointsUpdated event) {
        if (!started) {
            started = true;
            maintenance.start();
            if (state.settings.discovery() == DiscoveryMode.POLL) {
                state.commands.add(new SubscribeToEndpoints(true));
            }
        }
        endpoints.update(event);
    }

    private void timerExpired(SchedulerTimer timer) {
        if (timer instanceof Maintenance) {
            maintenance.run();
        } else if (timer instanceof EndpointResubscription) {
            state.commands.add(new SubscribeToEndpoints(true));
        } else if (timer instanceof RequestDeadline deadline) {
            RequestState request = state.requests.get(deadline.requestId());
            if (request != null && request.isUndecided()) {
                router.finish(request);
            }
        } else if (timer instanceof QueuedRequestRetry retry) {
            routeQueued(state.requests.get(retry.requestId()));
        }
    }
}
