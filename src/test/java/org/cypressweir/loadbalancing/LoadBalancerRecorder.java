package org.cypressweir.loadbalancing;

import java.util.ArrayList;
import java.util.List;
import org.cypressweir.loadbalancing.LoadBalancer.Actions;
import org.cypressweir.loadbalancing.LoadBalancer.Effect;
import org.cypressweir.loadbalancing.LoadBalancer.Group;
import org.cypressweir.loadbalancing.LoadBalancer.Limits;
import org.cypressweir.loadbalancing.LoadBalancer.ListKind;
import org.cypressweir.loadbalancing.LoadBalancer.Outcome;
import org.cypressweir.loadbalancing.LoadBalancer.Phase;
import org.cypressweir.loadbalancing.LoadBalancer.ReportSource;
import org.cypressweir.loadbalancing.LoadBalancer.Request;
import org.cypressweir.loadbalancing.LoadBalancer.RequestClass;
import org.cypressweir.loadbalancing.LoadBalancer.Result;
import org.cypressweir.loadbalancing.LoadBalancer.Rules;
import org.cypressweir.loadbalancing.LoadBalancer.Server;
import org.cypressweir.loadbalancing.LoadBalancer.Settings;
import org.cypressweir.loadbalancing.LoadBalancer.Tenant;

/** Records the actions of an instance. It has no model of servers: tests supply the answers. */
final class LoadBalancerRecorder implements Actions {
    final List<String> actions = new ArrayList<>();
    final List<Sent> sent = new ArrayList<>();
    final List<long[]> timers = new ArrayList<>();
    final List<Long> probes = new ArrayList<>();
    final List<String> refused = new ArrayList<>();
    final List<String> failed = new ArrayList<>();
    final SubsetLoadBalancer choice;
    long now = 1_000_000;

    record Sent(String request, long server, long at) {}

    LoadBalancerRecorder(Settings settings, int servers) {
        choice = new SubsetLoadBalancer(settings, this);
        List<Server> list = new ArrayList<>();
        for (int i = 0; i < servers; i++) {
            list.add(server(i + 1, i % 2, 0));
        }
        choice.servers(now, ListKind.COMPLETE, list);
    }

    static Server server(long id, int zone, long start) {
        return new Server(id, zone, 0, (int) id % 3, Phase.READY, start, 1);
    }

    static Settings settings(Effect effect, Group group) {
        return new Settings(
                7,
                0,
                3,
                0,
                List.of("a", "b"),
                List.of(new RequestClass("c", effect, group, 500_000, 200_000, 0, 1_000_000, 1, 0, false)),
                List.of(new Tenant("t", 0.5), new Tenant("u", 0.5)),
                0.2,
                0,
                new Limits(4, true, false, true, 1_000_000, 60_000_000, 100, 100, true, 400),
                new Rules(0.2, 10_000_000, 2_000_000, 10_000_000, 0, 0, 0),
                ReportSource.NONE,
                false,
                false,
                1000);
    }

    void request(String id) {
        choice.request(now, new Request(id, 0, 0, false, -1, now + 1_000_000, 0, false));
    }

    /** Ends the last attempt that was sent, with the given result. */
    void answer(int attempt, Result result, long elapsed, boolean closed) {
        Sent last = sent.get(sent.size() - 1);
        now += elapsed;
        choice.outcome(now, new Outcome(last.request, attempt, last.server, result, elapsed, closed, null));
    }

    void fireTimers() {
        List<long[]> due = new ArrayList<>(timers);
        timers.clear();
        for (long[] t : due) {
            now = Math.max(now, t[0]);
            choice.timer(now, t[1]);
        }
    }

    @Override
    public void send(String requestId, long server, long timeoutMicros) {
        sent.add(new Sent(requestId, server, now));
        actions.add("send " + requestId + " " + server + " " + timeoutMicros);
    }

    @Override
    public void refuse(String requestId, long retryAfterMicros) {
        refused.add(requestId);
        actions.add("refuse " + requestId);
    }

    @Override
    public void fail(String requestId) {
        failed.add(requestId);
        actions.add("fail " + requestId);
    }

    @Override
    public void cancel(String requestId, int attempt) {
        actions.add("cancel " + requestId + " " + attempt);
    }

    @Override
    public void timer(long atMicros, long token) {
        timers.add(new long[] {atMicros, token});
    }

    @Override
    public void probe(long server) {
        probes.add(server);
    }

    @Override
    public void closeIdle(long server) {
        actions.add("close " + server);
    }

    @Override
    public void subscribe() {
        actions.add("subscribe");
    }

    @Override
    public void log(String line) {
        actions.add("log " + line);
    }
}
