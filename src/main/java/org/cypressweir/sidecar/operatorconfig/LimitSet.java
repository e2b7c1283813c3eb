package org.cypressweir.sidecar.operatorconfig;

import java.util.EnumMap;
import java.util.Map;
import java.util.Set;

/** The limits that one section of the file sets. */
final class LimitSet {

    private final Map<LimitKey, Setting<?>> settings = new EnumMap<>(LimitKey.class);

    void put(LimitKey key, Setting<?> setting) {
        settings.put(key, setting);
    }

    Map<LimitKey, Setting<?>> asMap() {
        return settings;
    }

    /** A duration in microseconds or a count; null if not set. */
    @SuppressWarnings("unchecked")
    Setting<Long> number(LimitKey key) {
        return (Setting<Long>) settings.get(key);
    }

    /** The outcomes to retry on; null if not set. */
    @SuppressWarnings("unchecked")
    Setting<Set<Retryable>> outcomes() {
        return (Setting<Set<Retryable>>) settings.get(LimitKey.RETRY_ON);
    }
}
