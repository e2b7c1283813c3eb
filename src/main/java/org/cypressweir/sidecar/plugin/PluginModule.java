package org.cypressweir.sidecar.plugin;

import com.dylibso.chicory.compiler.MachineFactoryCompiler;
import com.dylibso.chicory.runtime.ExportFunction;
import com.dylibso.chicory.runtime.HostFunction;
import com.dylibso.chicory.runtime.ImportValues;
import com.dylibso.chicory.runtime.Instance;
import com.dylibso.chicory.runtime.Machine;
import com.dylibso.chicory.runtime.Memory;
import com.dylibso.chicory.wasm.Parser;
import com.dylibso.chicory.wasm.WasmModule;
import com.dylibso.chicory.wasm.types.ExternalType;
import com.dylibso.chicory.wasm.types.FunctionImport;
import com.dylibso.chicory.wasm.types.FunctionType;
import com.dylibso.chicory.wasm.types.Import;
import com.dylibso.chicory.wasm.types.MemoryLimits;
import com.dylibso.chicory.wasm.types.ValType;
import java.util.ArrayList;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Function;
import org.cypressweir.sidecar.route.PluginConfiguration;

/**
 * A compiled module and its instance. The hook's interface, version 1: the module exports a memory,
 * {@code lb_abi() -> i32} that gives 1, and {@code on_request()}; it may import what {@link #IMPORTS} names
 * from {@code lb}, and nothing else. Used by one thread.
 */
final class PluginModule {

    static final int ABI = 1;
    private static final String ABI_EXPORT = "lb_abi";
    private static final String HOOK = "on_request";
    private static final String MEMORY = "memory";
    private static final String FROM = "lb";

    private interface Call {
        int on(PluginInvocation visit, Memory memory, long[] given);
    }

    private record Offered(int parameters, Call call) {}

    private static final Map<String, Offered> OFFERED = offered();
    /** Names of the host's functions. */
    static final List<String> IMPORTS = List.copyOf(OFFERED.keySet());

    private final PluginConfiguration spec;
    private final WasmModule module;
    private final Function<Instance, Machine> machines;
    private Instance instance;
    private ExportFunction hook;
    private PluginInvocation visit;
    private final PluginStore store = new PluginStore();
    /** The call that has ended last. */
    private PluginInvocation last;

    /**
     * Parses, checks and compiles a module; no code of it runs yet.
     *
     * @throws InvalidPluginException with what is wrong with it
     */
    PluginModule(PluginConfiguration spec) throws InvalidPluginException {
        this.spec = spec;
        try {
            module = Parser.parse(spec.module());
            check();
            machines = MachineFactoryCompiler.compile(module);
        } catch (RuntimeException | AssertionError | LinkageError | StackOverflowError | OutOfMemoryError e) {
            // The library says in many ways that bytes are no module.
            throw new InvalidPluginException(
                    "no WebAssembly that this program can run: "
                            + String.valueOf(e.getMessage()).replaceAll("\\s+", " "),
                    e);
        }
    }

    private static Map<String, Offered> offered() {
        Map<String, Offered> all = new LinkedHashMap<>();
        all.put(
                "get",
                new Offered(5, (v, m, a) -> v.get(m, (int) a[0], (int) a[1], (int) a[2], (int) a[3], (int) a[4])));
        all.put(
                "set_header",
                new Offered(4, (v, m, a) -> v.setHeader(m, (int) a[0], (int) a[1], (int) a[2], (int) a[3])));
        all.put("remove_header", new Offered(2, (v, m, a) -> v.removeHeader(m, (int) a[0], (int) a[1])));
        all.put("set_class", new Offered(2, (v, m, a) -> v.setClass(m, (int) a[0], (int) a[1])));
        all.put("refuse", new Offered(3, (v, m, a) -> v.refuse(m, (int) a[0], (int) a[1], (int) a[2])));
        all.put(
                "store_get",
                new Offered(4, (v, m, a) -> v.storeGet(m, (int) a[0], (int) a[1], (int) a[2], (int) a[3])));
        all.put(
                "store_put",
                new Offered(4, (v, m, a) -> v.storePut(m, (int) a[0], (int) a[1], (int) a[2], (int) a[3])));
        all.put("log", new Offered(2, (v, m, a) -> v.log(m, (int) a[0], (int) a[1])));
        return Collections.unmodifiableMap(all);
    }

    private static FunctionType type(int parameters) {
        return FunctionType.of(Collections.nCopies(parameters, ValType.I32), List.of(ValType.I32));
    }

    private void check() throws InvalidPluginException {
        for (int i = 0; i < module.importSection().importCount(); i++) {
            Import wanted = module.importSection().getImport(i);
            Offered offer = wanted.module().equals(FROM) ? OFFERED.get(wanted.name()) : null;
            if (offer == null || !(wanted instanceof FunctionImport f)) {
                throw new InvalidPluginException("it imports " + wanted.module() + "." + wanted.name() + "; there are "
                        + FROM + "." + String.join(", " + FROM + ".", IMPORTS));
            }
            if (!module.typeSection().getType(f.typeIndex()).equals(type(offer.parameters))) {
                throw new InvalidPluginException("it imports " + FROM + "." + wanted.name()
                        + " with another type; it takes "
                        + offer.parameters + " i32 and gives one");
            }
        }
        export(MEMORY, ExternalType.MEMORY);
        export(ABI_EXPORT, ExternalType.FUNCTION);
        export(HOOK, ExternalType.FUNCTION);
        module.memorySection().ifPresent(m -> {
            if (m.memoryCount() > 0 && m.getMemory(0).limits().initialPages() > spec.memoryPages()) {
                throw new IllegalArgumentException(
                        "it wants " + m.getMemory(0).limits().initialPages()
                                + " pages of memory from the start, and may have " + spec.memoryPages());
            }
        });
    }

    private void export(String name, ExternalType type) throws InvalidPluginException {
        for (int i = 0; i < module.exportSection().exportCount(); i++) {
            if (module.exportSection().getExport(i).name().equals(name)
                    && module.exportSection().getExport(i).exportType() == type) {
                return;
            }
        }
        throw new InvalidPluginException("it lacks the export '" + name + "'");
    }

    /** What it imports of what there is. */
    List<String> imports() {
        List<String> names = new ArrayList<>();
        for (int i = 0; i < module.importSection().importCount(); i++) {
            names.add(module.importSection().getImport(i).name());
        }
        return names;
    }

    /** Makes a fresh instance, whose start function runs; on the thread that may be interrupted. */
    void begin() throws InvalidPluginException {
        instance = null;
        List<HostFunction> functions = new ArrayList<>();
        OFFERED.forEach(
                (name, offer) -> functions.add(new HostFunction(FROM, name, type(offer.parameters), (i, given) -> {
                    if (visit == null) {
                        throw new IllegalStateException("the host is called outside a visit");
                    }
                    visit.called();
                    return new long[] {offer.call.on(visit, i.memory(), given)};
                })));
        Instance fresh = Instance.builder(module)
                .withMachineFactory(machines)
                .withMemoryLimits(limits())
                .withImportValues(ImportValues.builder()
                        .addFunction(functions.toArray(HostFunction[]::new))
                        .build())
                .build();
        long abi = fresh.export(ABI_EXPORT).apply()[0];
        if (abi != ABI) {
            throw new InvalidPluginException("it speaks version " + abi + " of the hook; this program speaks " + ABI);
        }
        hook = fresh.export(HOOK);
        instance = fresh;
    }

    private MemoryLimits limits() {
        int initial = module.memorySection()
                .filter(m -> m.memoryCount() > 0)
                .map(m -> m.getMemory(0).limits().initialPages())
                .orElse(0);
        return new MemoryLimits(Math.min(initial, spec.memoryPages()), spec.memoryPages());
    }

    boolean begun() {
        return instance != null;
    }

    /** After a call that did not end by itself its memory may be anything. */
    void discard() {
        instance = null;
    }

    /** One line on what went wrong. */
    static String why(Throwable e) {
        return e instanceof StackOverflowError
                ? "its calls are nested too deep"
                : e instanceof OutOfMemoryError
                        ? "out of memory"
                        : e.getClass().getSimpleName() + ": "
                                + String.valueOf(e.getMessage()).replaceAll("\\s+", " ");
    }

    /** Calls the hook; throws whatever the plug-in's code brings about. */
    RequestedChanges onRequest(RequestView request) {
        visit = new PluginInvocation(request, spec, store);
        last = visit;
        try {
            hook.apply();
            return visit.wishes();
        } finally {
            visit = null;
        }
    }

    /** What the last call put into the store is kept: it has ended well, and somebody has heard of it. */
    void keep() {
        last.keep();
    }
}
