package org.cypressweir.sidecar;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.Future;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.stream.Collectors;
import org.cypressweir.sidecar.plugin.InvalidPluginException;
import org.cypressweir.sidecar.plugin.InvocationDeadline;
import org.cypressweir.sidecar.plugin.PluginHealth;
import org.cypressweir.sidecar.plugin.PluginHost;
import org.cypressweir.sidecar.plugin.RequestView;
import org.cypressweir.sidecar.plugin.RequestedChanges;
import org.cypressweir.sidecar.route.PluginConfiguration;

/**
 * The plug-ins in their configured order; each sees the changes of those before it. The event loop never blocks: a
 * request resumes when the last plug-in has answered, failed or timed out, and each failure is handled by the policy of
 * its plug-in.
 */
final class PluginChain {

    /** The combined result of all plug-ins. */
    record Result(
            Map<String, String> headers,
            String requestClass,
            String classFrom,
            String refusal,
            long retryAfterMillis) {}

    private static final class Member {
        final PluginHost host;
        final PluginHealth health = new PluginHealth();

        Member(PluginHost host) {
            this.host = host;
        }

        PluginConfiguration plan() {
            return host.configuration();
        }
    }

    private final List<Member> members = new ArrayList<>();
    /** Set once, before the first evaluation. */
    private volatile EventLoop loop;

    private SidecarClock clock;
    private Consumer<String> log;

    private PluginChain() {}

    /** Attaches the chain to the event loop, clock and log that it uses from now on. */
    void attach(Pool.Shared shared) {
        loop = shared.loop();
        clock = shared.clock();
        log = shared.log();
    }

    /**
     * Starts the plug-ins that are new and keeps unchanged ones with their health state. Called outside the event loop.
     *
     * @param before the previous chain; null for none
     * @throws InvalidPluginException if one cannot be started; none of the new ones is then left running
     */
    static PluginChain of(List<PluginConfiguration> plans, PluginChain before) throws InvalidPluginException {
        PluginChain chain = new PluginChain();
        Map<PluginConfiguration, Member> known =
                before == null ? Map.of() : before.members.stream().collect(Collectors.toMap(Member::plan, m -> m));
        try {
            for (PluginConfiguration plan : plans) {
                Member kept = known.get(plan);
                chain.members.add(kept != null ? kept : chain.start(plan));
            }
            return chain;
        } catch (InvalidPluginException e) {
            chain.closeAllExcept(before);
            throw e;
        }
    }

    private Member start(PluginConfiguration plan) throws InvalidPluginException {
        try {
            return new Member(new PluginHost(plan, task -> loop.execute(task)));
        } catch (InvalidPluginException e) {
            throw new InvalidPluginException(plan.line() + ": plug-in '" + plan.name() + "': " + e.getMessage(), e);
        }
    }

    /** Closes the plug-ins that the other chain does not contain. */
    void closeAllExcept(PluginChain other) {
        members.stream()
                .filter(m -> other == null || !other.members.contains(m))
                .forEach(m -> m.host.close());
    }

    /** Runs the plug-ins one after the other; the callback runs on the event loop, never within this call. */
    void evaluate(RequestView request, Consumer<Result> callback) {
        new Invocation(request, callback).next();
    }

    private final class Invocation {
        private RequestView request;
        private final Consumer<Result> callback;
        private final Map<String, String> changedHeaders = new LinkedHashMap<>();
        private String requestClass;
        private String classFrom;
        private int nextIndex;

        Invocation(RequestView request, Consumer<Result> callback) {
            this.request = request;
            this.callback = callback;
        }

        void next() {
            if (nextIndex == members.size()) {
                loop.execute(() -> callback.accept(new Result(changedHeaders, requestClass, classFrom, null, 0)));
                return;
            }
            Member member = members.get(nextIndex++);
            if (!member.health.mayCall(clock.micros())) {
                skip(member);
                return;
            }
            invoke(member);
        }

        private void invoke(Member member) {
            Future<?>[] timer = new Future<?>[1];
            PluginHost.Call call = member.host.submit(request, new PluginHost.ResultListener() {
                @Override
                public void done(RequestedChanges changes) {
                    timer[0].cancel(false);
                    member.health.succeeded();
                    apply(member, changes);
                }

                @Override
                public void failed(String why) {
                    timer[0].cancel(false);
                    fail(member, why);
                }
            });
            new DeadlineCheck(member, call, timer).check();
        }

        /** Periodically checks whether an invocation has exceeded its deadline. */
        private final class DeadlineCheck {
            private final Member member;
            private final PluginHost.Call call;
            private final Future<?>[] timer;
            private final InvocationDeadline deadline;
            private final long since = clock.micros();

            DeadlineCheck(Member member, PluginHost.Call call, Future<?>[] timer) {
                this.member = member;
                this.call = call;
                this.timer = timer;
                deadline = new InvocationDeadline(member.plan().deadlineMicros());
            }

            void check() {
                long remainingMicros = deadline.remainingWaitMicros(clock.micros() - since, call.cpuMicrosUsed());
                if (remainingMicros > 0) {
                    timer[0] = loop.schedule(this::check, remainingMicros, TimeUnit.MICROSECONDS);
                } else if (call.cancel()) {
                    fail(member, "no answer in time");
                }
            }
        }

        private void apply(Member member, RequestedChanges changes) {
            changes.logLines()
                    .forEach(n -> log.accept("plug-in " + member.plan().name() + ": " + n));
            if (changes.refusal() != null) {
                callback.accept(new Result(
                        changedHeaders, requestClass, classFrom, changes.refusal(), changes.retryAfterMillis()));
                return;
            }
            Map<String, String> headers = new LinkedHashMap<>(request.headers());
            changes.headers().forEach((name, value) -> {
                changedHeaders.put(name, value);
                if (value.isEmpty()) {
                    headers.remove(name);
                } else {
                    headers.put(name, value);
                }
            });
            if (changes.requestClass() != null) {
                requestClass = changes.requestClass();
                classFrom = member.plan().name();
            }
            request = new RequestView(
                    request.method(),
                    request.path(),
                    headers,
                    requestClass == null ? request.requestClass() : requestClass);
            next();
        }

        private void fail(Member member, String why) {
            long now = clock.micros();
            if (member.health.failed(now)) {
                log.accept("plug-in " + member.plan().name() + " is left out for "
                        + (member.health.suspendedUntil() - now) / 1_000 + " ms: " + why);
            }
            skip(member);
        }

        private void skip(Member member) {
            if (member.plan().failClosed()) {
                loop.execute(() -> callback.accept(
                        new Result(Map.of(), null, null, "a plug-in that must be asked" + " has failed", 1_000)));
            } else {
                next();
            }
        }
    }

    /** The configuration of a plug-in of this chain, with what it is granted. */
    PluginConfiguration plan(String name) {
        return members.stream()
                .map(Member::plan)
                .filter(p -> p.name().equals(name))
                .findFirst()
                .orElseThrow();
    }
}
