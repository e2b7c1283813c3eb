package org.cypressweir.sidecar.plugin;

import com.dylibso.chicory.compiler.MachineFactoryCompiler;
import com.dylibso.chicory.runtime.HostFunction;
import com.dylibso.chicory.runtime.ImportValues;
import com.dylibso.chicory.runtime.Instance;
import com.dylibso.chicory.wasm.Parser;
import com.dylibso.chicory.wasm.WasmModule;
import com.dylibso.chicory.wasm.types.FunctionType;
import com.dylibso.chicory.wasm.types.ValType;
import java.util.Arrays;
import java.util.HexFormat;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.function.Supplier;

/**
 * Cost of a WebAssembly plug-in on the event loop and on a thread of its own: a call, a loop, calls of a host function,
 * an instantiation, the time to interrupt an endless loop, and a hand-over to a thread and back. Reports medians, in
 * the interpreter and compiled to bytecode.
 */
public final class PluginBench {

    /** Exports nothing(), count(n) with a loop of n rounds, host(n) with n calls of lb.get, and forever(). */
    private static final byte[] MODULE = HexFormat.of()
            .parseHex("0061736d01000000"
                    + "010f0360027f7f017f60000060017f017f" + "020a01026c62036765740000" + "03050401020201"
                    + "0503010001" + "072404076e6f7468696e67000105636f756e74000204686f73740003"
                    + "07666f72657665720004" + "0a3f0402000b" + "1501017f0340200141016a22012000480d000b20010b"
                    + "1c01017f0340200141016a2201410010001a20012000480d000b20010b" + "07000340" + "0c000b0b");

    private static final int ROUNDS = 10_000;
    private static final int CALLS = 100;

    private PluginBench() {}

    public static void main(String[] args) throws Exception {
        WasmModule module = Parser.parse(MODULE);
        run(
                "interpreter",
                () -> Instance.builder(module).withImportValues(imports()).build());
        run("compiler", () -> Instance.builder(module)
                .withImportValues(imports())
                .withMachineFactory(MachineFactoryCompiler::compile)
                .build());
        handOver();
        System.exit(0);
    }

    private static ImportValues imports() {
        return ImportValues.builder()
                .addFunction(new HostFunction(
                        "lb",
                        "get",
                        FunctionType.of(List.of(ValType.I32, ValType.I32), List.of(ValType.I32)),
                        (instance, given) -> new long[] {given[0] + 1}))
                .build();
    }

    private static void run(String how, Supplier<Instance> build) throws Exception {
        double start = median(30, 1, build::get);
        Instance instance = build.get();
        var nothing = instance.export("nothing");
        var count = instance.export("count");
        var host = instance.export("host");
        System.out.printf(
                "%s: instance %.0f us, call %.0f ns, loop of %d rounds %.0f us, %d calls of the" + " host %.1f us",
                how,
                start / 1e3,
                median(200, 1_000, nothing::apply),
                ROUNDS,
                median(200, 10, () -> count.apply(ROUNDS)) / 1e3,
                CALLS,
                median(200, 10, () -> host.apply(CALLS)) / 1e3);
        long[] stops = new long[21];
        for (int i = 0; i < stops.length; i++) {
            Instance fresh = build.get();
            Thread runs = new Thread(() -> {
                try {
                    fresh.export("forever").apply();
                } catch (RuntimeException e) {
                    // Expected: the interrupt ends the call, and this duration is measured.
                }
            });
            runs.start();
            Thread.sleep(20);
            long since = System.nanoTime();
            runs.interrupt();
            runs.join(5_000);
            stops[i] = System.nanoTime() - since;
        }
        Arrays.sort(stops);
        System.out.printf(
                ", stopped %.0f us after an interrupt (longest %.0f us)%n",
                stops[stops.length / 2] / 1e3, stops[stops.length - 1] / 1e3);
    }

    /** Measures a hand-over to a waiting thread and its reply. */
    private static void handOver() throws Exception {
        ExecutorService other = Executors.newSingleThreadExecutor();
        double nanos = median(2_000, 1, () -> {
            try {
                other.submit(() -> {}).get();
            } catch (Exception e) {
                throw new IllegalStateException(e);
            }
        });
        System.out.printf("hand-over to a thread and back %.1f us%n", nanos / 1e3);
    }

    private static double median(int samples, int each, Runnable task) {
        for (int i = 0; i < samples * each / 2; i++) {
            task.run();
        }
        long[] took = new long[samples];
        for (int s = 0; s < samples; s++) {
            long since = System.nanoTime();
            for (int i = 0; i < each; i++) {
                task.run();
            }
            took[s] = (System.nanoTime() - since) / each;
        }
        Arrays.sort(took);
        return took[samples / 2];
    }
}
