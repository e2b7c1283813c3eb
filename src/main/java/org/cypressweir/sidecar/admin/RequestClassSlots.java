package org.cypressweir.sidecar.admin;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.cypressweir.loadbalancing.LoadBalancer.RequestClass;

/**
 * Assigns numbers to request classes when the configured classes change. Statistics and requests in flight refer to
 * classes by number, so a class that stays keeps its number, and the number of a removed class is reused only once no
 * request in flight has it. The change that removes a class never reuses its number: until that change is applied,
 * requests of the class still arrive.
 */
public final class RequestClassSlots {

    private RequestClassSlots() {}

    /**
     * Returns the new classes, each at the index that is its number; {@link RequestClass#REMOVED} at unused numbers.
     *
     * @param before the present classes by number
     * @param next the new classes, with unique names
     * @param inUse numbers of the requests in flight
     */
    public static List<RequestClass> assign(List<RequestClass> before, List<RequestClass> next, Set<Integer> inUse) {
        List<RequestClass> assigned = new ArrayList<>(before.size());
        List<RequestClass> added = new ArrayList<>(next);
        for (RequestClass old : before) {
            RequestClass kept = next.stream()
                    .filter(c -> c.name().equals(old.name()))
                    .findFirst()
                    .orElse(RequestClass.REMOVED);
            added.remove(kept);
            assigned.add(kept);
        }
        for (RequestClass c : added) {
            int free = 0;
            while (free < assigned.size()
                    && !(isFree(before, free) && assigned.get(free) == RequestClass.REMOVED && !inUse.contains(free))) {
                free++;
            }
            if (free < assigned.size()) {
                assigned.set(free, c);
            } else {
                assigned.add(c);
            }
        }
        return assigned;
    }

    private static boolean isFree(List<RequestClass> before, int number) {
        return number < before.size() && before.get(number) == RequestClass.REMOVED;
    }

    /** The first duplicate name; null if names are unique. */
    public static String firstDuplicateName(List<RequestClass> classes) {
        Set<String> names = new HashSet<>();
        return classes.stream()
                .map(RequestClass::name)
                .filter(n -> !names.add(n))
                .findFirst()
                .orElse(null);
    }
}
