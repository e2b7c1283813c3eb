package larkbank.sidecar;

import io.netty.buffer.Unpooled;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.io.IOException;
import java.io.PrintStream;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.function.BiFunction;
import larkbank.Choice;
import larkbank.LoadBalancer;
import larkbank.LoadBalancer.Actions;
import larkbank.LoadBalancer.ListKind;
import larkbank.LoadBalancer.LoadReport;
import larkbank.LoadBalancer.Outcome;
import larkbank.LoadBalancer.Result;
import larkbank.LoadBalancer.Settings;
import larkbank.sidecar.Call.Attempt;

/**
 * The real host of the module: it turns what happens on sockets into the module's events and the module's
 * actions into what happens on sockets, and decides nothing. All of it runs on one event loop.
 */
public final class Sidecar implements Actions, ClientServer.Service, ServerPool.Listener, Discovery.Listener {

    /** The module ends its requests at their deadline; past this much more the sidecar does. */
    private static final long OVERDUE_MICROS = 5_000;
    /** Requests of the rehearsal, and its longest time. */
    private static final int REHEARSED = 250;
    private static final long REHEARSAL_MILLIS = 1_500;

    private final EventLoop loop;
    private final PrintStream log;
    private final Clock clock = new Clock();
    private final LoadBalancer module;
    private final RequestReader reader;
    private final ServerPool pool;
    private final Discovery discovery;
    private final ClientServer clients;
    private final Config config;
    private final Map<String, Call> calls = new HashMap<>();
    private final Map<Call.Client, Call> waiting = new HashMap<>();
    private final ArrayDeque<Event> events = new ArrayDeque<>();
    private boolean inModule;
    private boolean stopping;

    /** Something to tell the module, and the request that it is about, if any. */
    private record Event(Call about, Told told) { }

    private interface Told {
        void tell(long nowMicros);
    }

    Sidecar(EventLoop loop, Config config, PrintStream log) {
        this(loop, config, log, Choice::new);
    }

    /** With another module. */
    Sidecar(EventLoop loop, Config config, PrintStream log,
            BiFunction<Settings, Actions, LoadBalancer> modules) {
        this.loop = loop;
        this.config = config;
        this.log = log;
        module = modules.apply(config.settings(), this);
        reader = new RequestReader(config.settings());
        pool = new ServerPool(loop, clock, config, this);
        discovery = new Discovery(loop, config.discovery(), config.lists(), config.known().revision(), this,
                this::log);
        clients = new ClientServer(loop, this, config.clientConnections(), this::log);
    }

    /** Runs a sidecar until it is told to end; the exit status. */
    public static int serve(Map<String, String> environment, PrintStream log) {
        Config config;
        try {
            config = Config.read(environment);
        } catch (IOException e) {
            log.println(plain(e));
            return 2;
        }
        var group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        EventLoop loop = group.next();
        CountDownLatch ended = new CountDownLatch(1);
        try {
            Sidecar sidecar = loop.submit(() -> new Sidecar(loop, config, log)).get();
            // One after the other, so that the last file read is the last one taken over.
            ExecutorService reading = Executors.newSingleThreadExecutor(
                    new DefaultThreadFactory("reading", true));
            Hangup.handle(() -> reading.execute(() -> sidecar.reload(environment)));
            Thread end = new Thread(() -> {
                loop.execute(() -> sidecar.stop(ended::countDown));
                awaitQuietly(ended);
                // The runtime would report the signal as its exit status.
                Runtime.getRuntime().halt(0);
            });
            Runtime.getRuntime().addShutdownHook(end);
            Rehearsal.run(config, REHEARSED, REHEARSAL_MILLIS);
            try {
                sidecar.start().get();
            } catch (ExecutionException e) {
                Runtime.getRuntime().removeShutdownHook(end);
                throw e;
            }
            ended.await();
            return 0;
        } catch (InterruptedException e) {
            return 1;
        } catch (ExecutionException | ReflectiveOperationException e) {
            log.println("larkbank: cannot start: " + e.getCause());
            return 1;
        }
    }

    private static String plain(Exception e) {
        return "larkbank: " + String.valueOf(e.getMessage()).replaceAll("\\s+", " ");
    }

    /**
     * Reads the configuration again, off the loop, and goes over to the address of discovery in it, which
     * goes before what the environment said at the start. A file that is wrong anywhere changes nothing.
     */
    void reload(Map<String, String> environment) {
        try {
            Config next = Config.reread(environment);
            loop.execute(() -> discovery.move(next.discovery()));
        } catch (IOException | RuntimeException e) {
            log.println(plain(e) + "; the old configuration stays");
        }
    }

    private static void awaitQuietly(CountDownLatch latch) {
        try {
            latch.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Hands the module its first list. */
    void open() {
        listed(ListKind.CACHED, config.known());
    }

    /** Hands the module its first list and opens the door; gives the address once clients can connect. */
    CompletableFuture<InetSocketAddress> start() {
        CompletableFuture<InetSocketAddress> started = new CompletableFuture<>();
        loop.execute(() -> {
            open();
            if (!config.settings().discoveryOnAsk()) {
                // Pushed lists wait at an agent, which answers a watch; the module asks for nothing then.
                discovery.subscribe();
            }
            clients.listen(config.listen()).addListener(f -> {
                if (f.isSuccess()) {
                    started.complete(clients.address());
                } else {
                    started.completeExceptionally(f.cause());
                }
            });
        });
        return started;
    }

    /** Answers all in hand, then ends. */
    void stop(Runnable ended) {
        if (stopping) {
            return;
        }
        stopping = true;
        clients.end(() -> {
            discovery.close();
            pool.close();
            ended.run();
        });
    }

    // ---- Events for the module

    /**
     * Tells the module, now or right after what it is being told: what an action brings about at once must
     * not reach the module inside the very call that asked for it. An exception costs its own request only.
     */
    private void tell(Call about, Told told) {
        events.addLast(new Event(about, told));
        if (inModule) {
            return;
        }
        inModule = true;
        try {
            for (Event e; (e = events.pollFirst()) != null;) {
                tell(e);
            }
        } finally {
            inModule = false;
        }
    }

    private void tell(Event e) {
        try {
            e.told.tell(clock.micros());
        } catch (RuntimeException | Error failure) {
            log("request " + (e.about == null ? "-" : e.about.request.id()) + ": " + failure);
            if (e.about != null) {
                abort(e.about, HttpResponseStatus.INTERNAL_SERVER_ERROR);
            }
        }
    }

    private void listed(ListKind kind, ServerList list) {
        pool.update(list);
        tell(null, now -> module.servers(now, kind, list.servers()));
    }

    @Override
    public void listed(ServerList list) {
        listed(list.complete() ? ListKind.COMPLETE : ListKind.CHANGES, list);
    }

    @Override
    public void failed(String why) {
        tell(null, now -> module.servers(now, ListKind.FAILED, List.of()));
    }

    @Override
    public boolean ready() {
        return !stopping && pool.anyReady();
    }

    @Override
    public void take(FullHttpRequest http, Call.Client client) throws RequestReader.BadRequest {
        long now = clock.micros();
        Call call = reader.read(now, http, client);
        if (calls.putIfAbsent(call.request.id(), call) != null) {
            throw new RequestReader.BadRequest("this " + Headers.REQUEST_ID + " is in hand");
        }
        waiting.put(client, call);
        call.expiry = loop.schedule(() -> abort(call, HttpResponseStatus.GATEWAY_TIMEOUT),
                call.request.deadlineMicros() - now + OVERDUE_MICROS, TimeUnit.MICROSECONDS);
        tell(call, at -> module.request(at, call.request));
    }

    @Override
    public void left(Call.Client client) {
        Call call = waiting.get(client);
        if (call != null) {
            over(call);
            tell(null, now -> module.clientLeft(now, call.request.id()));
        }
    }

    @Override
    public void ended(Attempt attempt, Result result, LoadReport report, FullHttpResponse answer) {
        Call call = attempt.call;
        attempt.result = result;
        attempt.timeout.cancel(false);
        call.out--;
        if (result == Result.SERVED && !call.over) {
            HttpHeaders headers = Headers.endToEnd(answer.headers());
            headers.remove(Headers.LOAD);
            Call.Client client = call.client;
            over(call);
            client.answer(HttpResponseStatus.OK, headers, answer.content().retain());
        }
        tell(call, now -> module.outcome(now, new Outcome(call.request.id(), attempt.number, attempt.server,
                result, now - attempt.sentAt, call.over, report)));
        forget(call);
    }

    // ---- Actions of the module

    @Override
    public void send(String requestId, long server, long timeoutMicros) {
        Call call = calls.get(requestId);
        if (call == null) {
            return;
        }
        long now = clock.micros();
        long deadline = call.request.deadlineMicros();
        long giveUpAt = timeoutMicros == 0 ? deadline : Math.min(deadline, now + timeoutMicros);
        Attempt attempt = new Attempt(call, server, now, giveUpAt);
        call.attempts.add(attempt);
        call.out++;
        attempt.timeout = loop.schedule(() -> stopWaiting(attempt, Result.TIMED_OUT), giveUpAt - now,
                TimeUnit.MICROSECONDS);
        pool.start(attempt);
    }

    /** Until its last byte is written an attempt can't have run, and the module is told that proof. */
    private void stopWaiting(Attempt attempt, Result otherwise) {
        if (attempt.result == null) {
            pool.abandon(attempt);
            ended(attempt, attempt.written ? otherwise : Result.NOT_SENT, null, null);
        }
    }

    @Override
    public void cancel(String requestId, int attempt) {
        Call call = calls.get(requestId);
        if (call != null && attempt >= 0 && attempt < call.attempts.size()) {
            stopWaiting(call.attempts.get(attempt), Result.CANCELLED);
        }
    }

    @Override
    public void refuse(String requestId, long retryAfterMicros) {
        HttpHeaders headers = new DefaultHttpHeaders();
        if (retryAfterMicros > 0) {
            headers.set(HttpHeaderNames.RETRY_AFTER,
                    String.valueOf(Math.max(1, retryAfterMicros / 1000) / 1000.0));
        }
        answer(calls.get(requestId), HttpResponseStatus.SERVICE_UNAVAILABLE, headers);
    }

    @Override
    public void fail(String requestId) {
        Call call = calls.get(requestId);
        boolean late = call != null && call.attempts.stream().anyMatch(a -> a.result == Result.TIMED_OUT);
        answer(call, late ? HttpResponseStatus.GATEWAY_TIMEOUT : HttpResponseStatus.BAD_GATEWAY,
                new DefaultHttpHeaders());
    }

    @Override
    public void timer(long atMicros, long token) {
        loop.schedule(() -> tell(null, now -> module.timer(now, token)),
                Math.max(0, atMicros - clock.micros()), TimeUnit.MICROSECONDS);
    }

    /** Sidecars may not probe; the module only asks where the settings allow it. */
    @Override
    public void probe(long server) { }

    @Override
    public void closeIdle(long server) {
        pool.closeIdle(server);
    }

    @Override
    public void subscribe() {
        discovery.subscribe();
    }

    @Override
    public void log(String line) {
        log.println(config.name() + " " + line);
    }

    // ---- The one answer

    private void answer(Call call, HttpResponseStatus status, HttpHeaders headers) {
        if (call != null && !call.over) {
            over(call);
            call.client.answer(status, headers, Unpooled.EMPTY_BUFFER);
        }
    }

    /** An answer that the module did not give: its request must have one all the same. */
    private void abort(Call call, HttpResponseStatus status) {
        if (!call.over) {
            answer(call, status, new DefaultHttpHeaders());
            tell(null, now -> module.clientLeft(now, call.request.id()));
        }
    }

    private void over(Call call) {
        call.over = true;
        call.expiry.cancel(false);
        waiting.remove(call.client);
        forget(call);
    }

    private void forget(Call call) {
        if (call.over && call.out == 0) {
            calls.remove(call.request.id(), call);
        }
    }
}
