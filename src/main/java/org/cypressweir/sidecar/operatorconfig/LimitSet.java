package org.cypressweir.sidecar.operatorconfig;

import java.util.EnumMap;
import java.util.Map;
import java.util.Set;

/** The limits that one section sets. */
final class LimitSet {

    private final Map<LimitKey, Setting<?>> settings = new EnumMap<>(LimitKey.class);

    void put(LimitKey key, Setting<?> setting) {
        settings.put(key, setting);
    }

    Map<LimitKey, Setting<?>> asMap() {
        return settings;
    }

    /** A time in microseconds or a count; null where it is not set. */
    @SuppressWarnings("unchecked")
    Setting<Long> number(LimitKey key) {
        return (Setting<Long>) settings.get(key);
    }

    /** The outcomes to retry on; null where they are not set. */
    @SuppressWarnings("unchecked")
    Setting<Set<Retryable>> outcomes() {
        return (Setting<Set<Retryable>>) settings.get(LimitKey.RETRY_ON);
    }
}
