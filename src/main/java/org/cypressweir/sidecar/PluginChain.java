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
 * Plug-ins in their order, each of which sees what those before it have changed. The event loop never waits:
 * a request goes on when the last has answered, failed or run out of time, each by its stated policy.
 */
final class PluginChain {

    /** What came of all of them. */
    record Result(
            Map<String, String> headers,
            String requestClass,
            String classFrom,
            String refusal,
            long retryAfterMillis) {}

    private static final class Member {
        final PluginHost host;
        final PluginHealth conduct = new PluginHealth();

        Member(PluginHost host) {
            this.host = host;
        }

        PluginConfiguration plan() {
            return host.plan();
        }
    }

    private final List<Member> members = new ArrayList<>();
    /** Set once, before anything is asked. */
    private volatile EventLoop loop;

    private SidecarClock clock;
    private Consumer<String> log;

    private PluginChain() {}

    /** Where it is asked and heard of from now on. */
    void attach(Pool.Shared shared) {
        loop = shared.loop();
        clock = shared.clock();
        log = shared.log();
    }

    /**
     * Starts what is new in a plan and keeps what has stayed the same, with its conduct; to be called off
     * the loop.
     *
     * @param before null for none
     * @throws InvalidPluginException where one can't be started; then nothing of the new ones is left running
     */
    static PluginChain of(List<PluginConfiguration> plans, PluginChain before) throws InvalidPluginException {
        PluginChain chain = new PluginChain();
        Map<PluginConfiguration, Member> known =
                before == null ? Map.of() : before.members.stream().collect(Collectors.toMap(Member::plan, m -> m));
        try {
            for (PluginConfiguration plan : plans) {
                Member kept = known.get(plan);
                chain.members.add(kept != null ? kept : chain.begin(plan));
            }
            return chain;
        } catch (InvalidPluginException e) {
            chain.closeAllBut(before);
            throw e;
        }
    }

    private Member begin(PluginConfiguration plan) throws InvalidPluginException {
        try {
            return new Member(new PluginHost(plan, task -> loop.execute(task)));
        } catch (InvalidPluginException e) {
            throw new InvalidPluginException(plan.line() + ": plug-in '" + plan.name() + "': " + e.getMessage(), e);
        }
    }

    /** Ends those that another chain does not have. */
    void closeAllBut(PluginChain other) {
        members.stream()
                .filter(m -> other == null || !other.members.contains(m))
                .forEach(m -> m.host.close());
    }

    /** Asks all of them, one after the other; heard on the loop, never within this call. */
    void ask(RequestView request, Consumer<Result> heard) {
        new Visits(request, heard).next();
    }

    private final class Visits {
        private RequestView request;
        private final Consumer<Result> heard;
        private final Map<String, String> changed = new LinkedHashMap<>();
        private String requestClass;
        private String classFrom;
        private int at;

        Visits(RequestView request, Consumer<Result> heard) {
            this.request = request;
            this.heard = heard;
        }

        void next() {
            if (at == members.size()) {
                loop.execute(() -> heard.accept(new Result(changed, requestClass, classFrom, null, 0)));
                return;
            }
            Member member = members.get(at++);
            if (!member.conduct.mayCall(clock.micros())) {
                without(member);
                return;
            }
            visit(member);
        }

        private void visit(Member member) {
            Future<?>[] patience = new Future<?>[1];
            PluginHost.Call call = member.host.ask(request, new PluginHost.Heard() {
                @Override
                public void done(RequestedChanges wishes) {
                    patience[0].cancel(false);
                    member.conduct.well();
                    take(member, wishes);
                }

                @Override
                public void failed(String why) {
                    patience[0].cancel(false);
                    fail(member, why);
                }
            });
            new Wait(member, call, patience).look();
        }

        /** Looks now and then whether a call is out of time. */
        private final class Wait {
            private final Member member;
            private final PluginHost.Call call;
            private final Future<?>[] next;
            private final InvocationDeadline patience;
            private final long since = clock.micros();

            Wait(Member member, PluginHost.Call call, Future<?>[] next) {
                this.member = member;
                this.call = call;
                this.next = next;
                patience = new InvocationDeadline(member.plan().deadlineMicros());
            }

            void look() {
                long more = patience.more(clock.micros() - since, call.used());
                if (more > 0) {
                    next[0] = loop.schedule(this::look, more, TimeUnit.MICROSECONDS);
                } else if (call.withdraw()) {
                    fail(member, "no answer in time");
                }
            }
        }

        private void take(Member member, RequestedChanges wishes) {
            wishes.notes().forEach(n -> log.accept("plug-in " + member.plan().name() + ": " + n));
            if (wishes.refusal() != null) {
                heard.accept(new Result(changed, requestClass, classFrom, wishes.refusal(), wishes.retryAfterMillis()));
                return;
            }
            Map<String, String> headers = new LinkedHashMap<>(request.headers());
            wishes.headers().forEach((name, value) -> {
                changed.put(name, value);
                if (value.isEmpty()) {
                    headers.remove(name);
                } else {
                    headers.put(name, value);
                }
            });
            if (wishes.requestClass() != null) {
                requestClass = wishes.requestClass();
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
            if (member.conduct.failed(now)) {
                log.accept("plug-in " + member.plan().name() + " is left out for "
                        + (member.conduct.outUntil() - now) / 1_000 + " ms: " + why);
            }
            without(member);
        }

        private void without(Member member) {
            if (member.plan().failClosed()) {
                loop.execute(() -> heard.accept(
                        new Result(Map.of(), null, null, "a plug-in that must be asked" + " has failed", 1_000)));
            } else {
                next();
            }
        }
    }

    /** What was granted to a plug-in of this chain. */
    PluginConfiguration plan(String name) {
        return members.stream()
                .map(Member::plan)
                .filter(p -> p.name().equals(name))
                .findFirst()
                .orElseThrow();
    }
}
