package larkbank.pilot;

import io.netty.channel.embedded.EmbeddedChannel;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import larkbank.gangway.Answer;
import larkbank.gangway.Call;
import larkbank.logbook.Wake;
import larkbank.manifest.RouteTerms;
import larkbank.manifest.Split;
import larkbank.quay.Freight;
import larkbank.quay.Load;
import larkbank.quay.Outcome;

/** A helm with made-up time, clients and servers: the test says what becomes of each attempt, and when. */
final class Hull implements Carrier {

    static final long AIM = 500_000;
    static final long LEFT = 2_000_000;

    /** One attempt that was handed to the carrier. */
    static final class Sent {
        final Target target;
        final Freight freight;
        private final Consumer<Reply> end;
        /** As far as it is known. */
        Outcome outcome;

        boolean cancelled;
        /** Hears of it when it is cancelled. */
        Runnable whenCancelled = () -> {};

        Sent(Target target, Freight freight, Consumer<Reply> end) {
            this.target = target;
            this.freight = freight;
            this.end = end;
        }

        void ends(Outcome its) {
            outcome = its;
            end.accept(new Reply(its, new Load(1, 0, 8)));
        }

        boolean hasNotRun() {
            return outcome instanceof Outcome.NotRun;
        }

        void answers(int status) {
            ends(new Outcome.Answered(status, List.of(Map.entry("By", target.instance())), new byte[0]));
        }
    }

    /** A client that waits for an answer. */
    static class Client implements Call {
        final List<Answer> answers = new ArrayList<>();
        private Runnable gone;

        int status() {
            return answers.isEmpty() ? 0 : answers.get(0).status();
        }

        String retryAfter() {
            return larkbank.gangway.Headers.first(answers.get(0).headers(), "Retry-After");
        }

        void leaves() {
            gone.run();
        }

        @Override
        public String method() {
            return "POST";
        }

        @Override
        public String uri() {
            return "/x";
        }

        @Override
        public String host() {
            return "a";
        }

        @Override
        public List<Map.Entry<String, String>> headers() {
            return List.of();
        }

        @Override
        public byte[] body() {
            return new byte[0];
        }

        @Override
        public long arrivedMicros() {
            return 0;
        }

        @Override
        public InetSocketAddress remote() {
            return null;
        }

        @Override
        public boolean answer(Answer answer) {
            answers.add(answer);
            return true;
        }

        @Override
        public void whenGone(Runnable task) {
            gone = task;
        }

        @Override
        public boolean isOpen() {
            return answers.isEmpty();
        }
    }

    final List<Sent> sent = new ArrayList<>();
    /** Does what the test wants with each attempt as it is sent. */
    Consumer<Sent> server = s -> {};
    /** Whether it is an error to send again what may have run and can't be repeated. */
    boolean strict = true;

    private final EmbeddedChannel channel = new EmbeddedChannel();
    private final Helm helm;
    long now = 1_000_000_000L;
    final Wake wake = new Wake(() -> now, 4);
    private long numbers;

    Hull(int servers) {
        channel.freezeTime();
        helm = new Helm(
                "s", channel.eventLoop(), () -> now, this, "p1", 0, List.of("z"), Helm.budget(10_000_000, 50, 0.25));
        servers(servers);
    }

    Helm helm() {
        return helm;
    }

    /** From now on there are so many servers. */
    void servers(int count) {
        List<Target> targets = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            targets.add(new Target(100 + i, "p" + i, 1, "10.0.0." + i + ":7000", "i" + i, "z"));
        }
        helm.servers(targets, List.of("z"), Map.of());
        advance(0);
    }

    List<Sent> attempts(String id) {
        return sent.stream().filter(s -> s.freight.id().equals(id)).toList();
    }

    @Override
    public Ride send(Target target, Freight freight, Consumer<Reply> end) {
        if (strict && !freight.repeatable() && !attempts(freight.id()).stream().allMatch(Sent::hasNotRun)) {
            throw new AssertionError("sent again: " + freight.id());
        }
        Sent one = new Sent(target, freight, end);
        sent.add(one);
        server.accept(one);
        return () -> {
            one.cancelled = true;
            one.whenCancelled.run();
        };
    }

    Client ask(boolean repeatable) {
        return ask(repeatable, new Client());
    }

    Client ask(boolean repeatable, Client client) {
        RouteTerms route =
                new RouteTerms("r", "a", "/", repeatable, LEFT, AIM, 1, List.of(new Split("s", 1)), 3, false);
        String number = Long.toString(++numbers);
        helm.take(new Passage(
                number, client, "id" + number, route, "t", 1, false, now, now + AIM, now + LEFT, List.of(), wake));
        advance(0);
        return client;
    }

    /** A task at a time from now on. */
    void later(long micros, Runnable task) {
        channel.eventLoop().schedule(task, micros, TimeUnit.MICROSECONDS);
    }

    /** Time passes, and all happens that is due meanwhile, each at its time. */
    void advance(long micros) {
        long until = now + micros;
        while (true) {
            channel.runPendingTasks();
            long next = channel.runScheduledPendingTasks();
            long step = next < 0 ? Long.MAX_VALUE : Math.max(1, (next + 999) / 1_000);
            if (next == 0) {
                continue;
            }
            if (step > until - now) {
                channel.advanceTimeBy(until - now, TimeUnit.MICROSECONDS);
                now = until;
                channel.runPendingTasks();
                return;
            }
            channel.advanceTimeBy(step, TimeUnit.MICROSECONDS);
            now += step;
        }
    }
}
