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

    private static List<String> names(List<RequestClass> placed) {
        return placed.stream().map(RequestClass::name).toList();
    }

    @Test
    void thoseThatStayKeepTheirNumbersAndDroppedOnesWaitForTheirRequests() {
        List<RequestClass> placed = RequestClassSlots.place(of("a", "b", "c"), of("c", "d", "a"), Set.of(1));
        assertEquals(List.of("a", "", "c", "d"), names(placed));
        assertEquals(
                List.of("a", "e", "c", "d"),
                names(RequestClassSlots.place(placed, of("a", "c", "d", "e"), Set.of(0, 3))));
    }

    /** A request that came under a class is of that class or of none, whenever the change is taken over. */
    @Test
    void whatIsDroppedNowIsNotGivenAwayNow() {
        List<RequestClass> placed = RequestClassSlots.place(of("a", "b"), of("a", "c"), Set.of());
        assertEquals(List.of("a", "", "c"), names(placed));
        assertEquals(List.of("a", "d", "c"), names(RequestClassSlots.place(placed, of("a", "c", "d"), Set.of())));
    }

    @Test
    void aClassOfTheSameNameHasItsNewRules() {
        List<RequestClass> next = List.of(of("a", Effect.UNSAFE));
        assertEquals(next, RequestClassSlots.place(of("a"), next, Set.of(0)));
    }

    /** Whatever comes and goes: each name once, at the place it had, and no place in use is given away. */
    @Test
    void nobodyLosesAPlaceInUse() {
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
            List<RequestClass> next = RequestClassSlots.place(now, of(names), inUse);
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
            // Requests go on coming under all that holds until the change is taken over, so none of those
            // numbers may belong to another class by then.
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
    void aFileThatLacksSomethingIsNotTaken() {
        ConfigurationCompleteness shape = new ConfigurationCompleteness(Map.of(
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
        assertNull(shape.fault(good));
        assertEquals("'settings' is missing", shape.fault(Map.of("discovery", "b")));
        assertEquals(
                "'settings.classes[1].aim_us' is missing",
                shape.fault(Map.of(
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
                shape.fault(Map.of("discovery", "b", "settings", Map.of("tick_us", "x", "classes", List.of()))));
    }
}
