package org.cypressweir.loadbalancing;

import java.util.Arrays;
import java.util.List;
import org.cypressweir.loadbalancing.LoadBalancer.Effect;
import org.cypressweir.loadbalancing.LoadBalancer.RequestClass;

/** The request classes in force, and the latency that is usual for each of them. */
final class RequestClasses {

    /** Weight of one answer in what is usual. */
    static final double USUAL_WEIGHT = 0.03;
    /** What is usual before the first answer, in target latencies. */
    private static final double FIRST_GUESS = 0.3;
    /** An answer counts for at most so many times what is usual; so does a hint. */
    private static final double MOST_SAMPLE = 4;

    private static final double MOST_HINT = 8;

    private List<RequestClass> classes = List.of();
    private double[] usualMicros = {};
    private double usualHintMicros;
    /** Mean target latency of the classes: the balancer's unit of time. */
    double targetMicros;
    /** Some class may run more than once. */
    boolean hasSafeClass;

    RequestClasses(List<RequestClass> classes) {
        replace(classes);
    }

    /** Takes the classes as they are now; what is usual stays where a place has its class of before. */
    void replace(List<RequestClass> next) {
        List<RequestClass> before = classes;
        classes = next;
        usualMicros = Arrays.copyOf(usualMicros, classes.size());
        double targets = 0;
        double live = 0;
        hasSafeClass = false;
        for (int i = 0; i < classes.size(); i++) {
            RequestClass each = classes.get(i);
            if (each == RequestClass.GONE) {
                continue;
            }
            double target = Math.max(1, each.aimMicros() > 0 ? each.aimMicros() : each.deadlineMicros());
            boolean known = i < before.size() && before.get(i).name().equals(each.name());
            usualMicros[i] = known ? usualMicros[i] : target * FIRST_GUESS;
            targets += target;
            live++;
            hasSafeClass |= each.effect() == Effect.SAFE;
        }
        targetMicros = targets / live;
    }

    int count() {
        return usualMicros.length;
    }

    RequestClass get(int number) {
        return classes.get(number);
    }

    /** The nearest number that a class has. */
    int number(int number) {
        return Math.min(Math.max(0, number), usualMicros.length - 1);
    }

    double usualMicros(int number) {
        return usualMicros[number];
    }

    /** What is usual for a request, by its class and its hint. */
    double usualMicros(PendingRequest request) {
        return usualMicros[request.requestClass] * request.scale;
    }

    /** What is usual for a request with this hint (0: none), in units of what is usual for its class. */
    double scale(long hintMicros) {
        if (hintMicros > 0) {
            usualHintMicros += usualHintMicros == 0 ? hintMicros : USUAL_WEIGHT * (hintMicros - usualHintMicros);
        }
        return hintMicros <= 0 || usualHintMicros <= 0
                ? 1
                : 0.5 + 0.5 * Math.min(MOST_HINT, hintMicros / usualHintMicros);
    }

    /** An answer took so long, without what its server was busy with beside it. */
    void answered(PendingRequest request, double micros) {
        int number = request.requestClass;
        double usual = usualMicros[number];
        usualMicros[number] += USUAL_WEIGHT * (Math.min(micros / request.scale, MOST_SAMPLE * usual) - usual);
    }
}
