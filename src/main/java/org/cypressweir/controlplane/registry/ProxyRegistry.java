package org.cypressweir.controlplane.registry;

import java.util.ArrayList;
import java.util.Collection;
import java.util.IdentityHashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The proxies registered with one controller, each over a connection that it keeps open. A proxy whose connection
 * is lost or silent expires after a grace period. Kept in memory: after a restart of the controller the proxies
 * register again. Not thread-safe; times are microseconds of one monotonic clock.
 */
public final class ProxyRegistry {

    /**
     * A proxy that expired without a graceful shutdown.
     *
     * @param sinceMicros when it expired
     */
    public record ExpiredProxy(ProxyRegistration registration, long sinceMicros) {}

    private static final int MAX_EXPIRED = 256;
    private static final long EXPIRED_RETENTION_MICROS = 3_600_000_000L;

    private static final class Entry {
        private ProxyRegistration registration;
        private Object connection;
        /** 0 while the connection is alive. */
        private long lostAtMicros;
    }

    private final long graceMicros;
    private final Map<String, Entry> entries = new LinkedHashMap<>();
    /** The same entries by connection, since each message of a proxy looks them up by it. */
    private final Map<Object, List<Entry>> entriesByConnection = new IdentityHashMap<>();

    private final Map<String, ExpiredProxy> expired = new LinkedHashMap<>() {
        private static final long serialVersionUID = 1;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, ExpiredProxy> eldest) {
            return size() > MAX_EXPIRED;
        }
    };

    /** @param graceMicros how long a proxy stays registered after its connection is lost */
    public ProxyRegistry(long graceMicros) {
        this.graceMicros = graceMicros;
    }

    /** Registers a proxy under this connection; returns whether the registration is newer than the one known. */
    public boolean register(Object connection, ProxyRegistration registration) {
        Entry entry = entries.computeIfAbsent(registration.name(), name -> new Entry());
        ProxyRegistration before = entry.registration;
        if (before != null && before.isNewer(registration)) {
            return false;
        }
        boolean changed = registration.isNewer(before);
        entry.registration = registration;
        connect(entry, connection);
        entry.lostAtMicros = 0;
        expired.remove(registration.name());
        return changed;
    }

    private void connect(Entry entry, Object connection) {
        if (entry.connection != connection) {
            disconnect(entry);
            entry.connection = connection;
            entriesByConnection
                    .computeIfAbsent(connection, key -> new ArrayList<>(1))
                    .add(entry);
        }
    }

    private void disconnect(Entry entry) {
        List<Entry> others = entriesByConnection.get(entry.connection);
        if (others != null) {
            others.remove(entry);
            if (others.isEmpty()) {
                entriesByConnection.remove(entry.connection);
            }
        }
    }

    /** The connection was closed, or nothing has been received on it for too long. */
    public void connectionLost(long nowMicros, Object connection) {
        for (Entry entry : entriesByConnection.getOrDefault(connection, List.of())) {
            if (entry.lostAtMicros == 0) {
                entry.lostAtMicros = nowMicros;
            }
        }
    }

    /** Something was received on the connection, which may have been silent before. */
    public void connectionAlive(Object connection) {
        for (Entry entry : entriesByConnection.getOrDefault(connection, List.of())) {
            entry.lostAtMicros = 0;
        }
    }

    /** Removes the proxies whose grace period has passed and returns their names. */
    public List<String> expire(long nowMicros) {
        List<String> names = new ArrayList<>();
        entries.forEach((name, entry) -> {
            if (entry.lostAtMicros != 0 && nowMicros - entry.lostAtMicros > graceMicros) {
                names.add(name);
            }
        });
        names.forEach(name -> remove(nowMicros, name));
        expired.values().removeIf(proxy -> nowMicros - proxy.sinceMicros > EXPIRED_RETENTION_MICROS);
        return names;
    }

    private void remove(long nowMicros, String name) {
        Entry entry = entries.remove(name);
        disconnect(entry);
        ProxyRegistration registration = entry.registration;
        if (!registration.shuttingDown()) {
            expired.put(name, new ExpiredProxy(registration, nowMicros));
        }
    }

    /** The most recent proxies that expired within the last hour and have not registered again. */
    public Collection<ExpiredProxy> expired() {
        return List.copyOf(expired.values());
    }

    /** The registration of the named proxy; null if there is none. */
    public ProxyRegistration get(String name) {
        Entry entry = entries.get(name);
        return entry == null ? null : entry.registration;
    }

    /** All registrations, in the order in which the proxies first registered. */
    public Collection<ProxyRegistration> all() {
        return entries.values().stream().map(entry -> entry.registration).toList();
    }

    /** The names of all proxies, in the same order. */
    public Collection<String> names() {
        return List.copyOf(entries.keySet());
    }

    /** How many proxies are registered. */
    public int size() {
        return entries.size();
    }
}
