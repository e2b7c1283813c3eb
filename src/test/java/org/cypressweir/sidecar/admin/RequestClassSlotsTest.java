package org.cypressweir.sidecar.admin;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.stream.IntStream;
import org.cypressweir.loadbalancing.LoadBalancer.Effect;
import org.cypressweir.loadbalancing.LoadBalancer.Group;
import org.cypressweir.loadbalancing.LoadBalancer.RequestClass;
import org.junit.jupiter.api.Test;

class RequestClassSlotsTest {

    private static RequestClass of(String name, Effect effect) {
        return new RequestClass(name, effect, Group.ALL, 0, 1, 0, 2, 1, 0, false);
    }

    private static List<RequestClass> of(String... names) {
        return List.of(names).stream().map(n -> of(n, Effect.SAFE)).toList();
    }

    private static List<String> names(List<RequestClass> assigned) {
        return assigned.stream().map(RequestClass::name).toList();
    }

    @Test
    void numbersStayAndAreReusedOnlyWithoutRequests() {
        List<RequestClass> assigned = RequestClassSlots.assign(of("a", "b", "c"), of("c", "d", "a"), Set.of(1));
        assertEquals(List.of("a", "", "c", "d"), names(assigned));
        assertEquals(
                List.of("a", "e", "c", "d"),
                names(RequestClassSlots.assign(assigned, of("a", "c", "d", "e"), Set.of(0, 3))));
    }

    /** A request keeps its class or has none, whenever the change is applied; it never gets another class. */
    @Test
    void theChangeThatRemovesAClassDoesNotReuseItsNumber() {
        List<RequestClass> assigned = RequestClassSlots.assign(of("a", "b"), of("a", "c"), Set.of());
        assertEquals(List.of("a", "", "c"), names(assigned));
        assertEquals(List.of("a", "d", "c"), names(RequestClassSlots.assign(assigned, of("a", "c", "d"), Set.of())));
    }

    @Test
    void aClassOfTheSameNameGetsItsNewSettings() {
        List<RequestClass> next = List.of(of("a", Effect.UNSAFE));
        assertEquals(next, RequestClassSlots.assign(of("a"), next, Set.of(0)));
    }

    /** Random changes: each class has one number, keeps it, and no number in use is given to another class. */
    @Test
    void noNumberInUseIsReassigned() {
        long seed = System.nanoTime();
        SplittableRandom random = new SplittableRandom(seed);
        List<RequestClass> now = of("k0", "k1");
        for (int round = 0; round < 500; round++) {
            String[] names = IntStream.range(0, 12)
                    .filter(i -> random.nextBoolean())
                    .mapToObj(i -> "k" + i)
                    .toArray(String[]::new);
            Set<Integer> inUse =
                    Set.copyOf(random.ints(3, 0, now.size()).boxed().toList());
            List<RequestClass> next = RequestClassSlots.assign(now, of(names), inUse);
            for (String name : names) {
                assertEquals(1, names(next).stream().filter(name::equals).count(), "seed " + seed);
                int before = names(now).indexOf(name);
                assertEquals(
                        before < 0 ? names(next).indexOf(name) : before,
                        names(next).indexOf(name),
                        "seed " + seed);
            }
            for (int i : inUse) {
                String after = names(next).get(i);
                assertEquals(after.isEmpty() ? after : names(now).get(i), after, "seed " + seed);
            }
            // Until the change is applied, requests arrive with the present numbers, so none of these may belong to
            // another class afterwards.
            for (int i = 0; i < now.size(); i++) {
                String before = names(now).get(i);
                String after = names(next).get(i);
                assertTrue(before.isEmpty() || after.isEmpty() || after.equals(before), "seed " + seed);
            }
            assertTrue(next.size() <= 24, next.size() + " numbers, seed " + seed);
            now = next;
        }
    }

    @Test
    void anIncompleteFileIsRejected() {
        ConfigurationCompleteness completeness = new ConfigurationCompleteness(Map.of(
                "known",
                Map.of("rev", 1L),
                "discovery",
                "a",
                "settings",
                Map.of("tick_us", 5L, "classes", List.of(Map.of("name", "a", "aim_us", 1L)))));
        Map<String, Object> good = Map.of(
                "discovery",
                "b",
                "settings",
                Map.of(
                        "tick_us",
                        6L,
                        "classes",
                        List.of(Map.of("name", "a", "aim_us", 1L), Map.of("name", "b", "aim_us", 2L, "more", true))));
        assertNull(completeness.findMissing(good));
        assertEquals("'settings' is missing", completeness.findMissing(Map.of("discovery", "b")));
        assertEquals(
                "'settings.classes[1].aim_us' is missing",
                completeness.findMissing(Map.of(
                        "discovery",
                        "b",
                        "settings",
                        Map.of(
                                "tick_us",
                                6L,
                                "classes",
                                List.of(Map.of("name", "a", "aim_us", 1L), Map.of("name", "b"))))));
        assertEquals(
                "'settings.tick_us' is no number",
                completeness.findMissing(
                        Map.of("discovery", "b", "settings", Map.of("tick_us", "x", "classes", List.of()))));
    }
}
