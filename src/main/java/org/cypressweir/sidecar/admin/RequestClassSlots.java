package org.cypressweir.sidecar.admin;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.cypressweir.loadbalancing.LoadBalancer.RequestClass;

/**
 * The numbers of classes when others come to hold. What is learned and what is in hand goes by number, so a
 * class that stays keeps its own, and that of a dropped one is free once no request is left under it. That is
 * never so in the change that drops it: until the change is taken over, requests still come under it.
 */
public final class RequestClassSlots {

    private RequestClassSlots() {}

    /**
     * The classes by their numbers; {@link RequestClass#GONE} where there is none.
     *
     * @param before as they are now
     * @param next those that are to hold, each name once
     * @param inUse numbers that requests in hand have
     */
    public static List<RequestClass> place(List<RequestClass> before, List<RequestClass> next, Set<Integer> inUse) {
        List<RequestClass> placed = new ArrayList<>(before.size());
        List<RequestClass> fresh = new ArrayList<>(next);
        for (RequestClass old : before) {
            RequestClass stays = next.stream()
                    .filter(c -> c.name().equals(old.name()))
                    .findFirst()
                    .orElse(RequestClass.GONE);
            fresh.remove(stays);
            placed.add(stays);
        }
        for (RequestClass c : fresh) {
            int free = 0;
            while (free < placed.size()
                    && !(isFree(before, free) && placed.get(free) == RequestClass.GONE && !inUse.contains(free))) {
                free++;
            }
            if (free < placed.size()) {
                placed.set(free, c);
            } else {
                placed.add(c);
            }
        }
        return placed;
    }

    private static boolean isFree(List<RequestClass> before, int number) {
        return number < before.size() && before.get(number) == RequestClass.GONE;
    }

    /** The first name that stands twice; null where none does. */
    public static String twice(List<RequestClass> classes) {
        Set<String> names = new HashSet<>();
        return classes.stream()
                .map(RequestClass::name)
                .filter(n -> !names.add(n))
                .findFirst()
                .orElse(null);
    }
}
