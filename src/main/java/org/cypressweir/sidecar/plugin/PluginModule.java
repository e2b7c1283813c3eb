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
 * A compiled WebAssembly module and its instance. The plug-in interface, version 1: the module exports a memory,
 * {@code lb_abi() -> i32}, which returns 1, and {@code on_request()}. It may import the functions in {@link #IMPORTS}
 * from {@code lb}, and nothing else. Used by one thread.
 */
final class PluginModule {

    static final int ABI = 1;
    private static final String ABI_EXPORT = "lb_abi";
    private static final String HOOK_EXPORT = "on_request";
    private static final String MEMORY_EXPORT = "memory";
    private static final String IMPORT_MODULE = "lb";

    private interface HostCall {
        int apply(PluginInvocation invocation, Memory memory, long[] arguments);
    }

    private record HostFunctionSpec(int parameters, HostCall call) {}

    private static final Map<String, HostFunctionSpec> HOST_FUNCTIONS = hostFunctions();
    /** Names of the host functions. */
    static final List<String> IMPORTS = List.copyOf(HOST_FUNCTIONS.keySet());

    private final PluginConfiguration configuration;
    private final WasmModule module;
    private final Function<Instance, Machine> machineFactory;
    private Instance instance;
    private ExportFunction hook;
    private PluginInvocation invocation;
    private final PluginStore store = new PluginStore();
    /** The most recent invocation. */
    private PluginInvocation lastInvocation;

    /**
     * Parses, validates and compiles a module; none of its code runs yet.
     *
     * @throws InvalidPluginException if the module is not a valid plug-in
     */
    PluginModule(PluginConfiguration configuration) throws InvalidPluginException {
        this.configuration = configuration;
        try {
            module = Parser.parse(configuration.module());
            check();
            machineFactory = MachineFactoryCompiler.compile(module);
        } catch (RuntimeException | AssertionError | LinkageError | StackOverflowError | OutOfMemoryError e) {
            // The library throws many kinds of exceptions and errors for invalid modules.
            throw new InvalidPluginException(
                    "not a WebAssembly module that this program can run: "
                            + String.valueOf(e.getMessage()).replaceAll("\\s+", " "),
                    e);
        }
    }

    private static Map<String, HostFunctionSpec> hostFunctions() {
        Map<String, HostFunctionSpec> all = new LinkedHashMap<>();
        all.put(
                "get",
                new HostFunctionSpec(
                        5, (v, m, a) -> v.get(m, (int) a[0], (int) a[1], (int) a[2], (int) a[3], (int) a[4])));
        all.put(
                "set_header",
                new HostFunctionSpec(4, (v, m, a) -> v.setHeader(m, (int) a[0], (int) a[1], (int) a[2], (int) a[3])));
        all.put("remove_header", new HostFunctionSpec(2, (v, m, a) -> v.removeHeader(m, (int) a[0], (int) a[1])));
        all.put("set_class", new HostFunctionSpec(2, (v, m, a) -> v.setClass(m, (int) a[0], (int) a[1])));
        all.put("refuse", new HostFunctionSpec(3, (v, m, a) -> v.refuse(m, (int) a[0], (int) a[1], (int) a[2])));
        all.put(
                "store_get",
                new HostFunctionSpec(4, (v, m, a) -> v.storeGet(m, (int) a[0], (int) a[1], (int) a[2], (int) a[3])));
        all.put(
                "store_put",
                new HostFunctionSpec(4, (v, m, a) -> v.storePut(m, (int) a[0], (int) a[1], (int) a[2], (int) a[3])));
        all.put("log", new HostFunctionSpec(2, (v, m, a) -> v.log(m, (int) a[0], (int) a[1])));
        return Collections.unmodifiableMap(all);
    }

    private static FunctionType type(int parameters) {
        return FunctionType.of(Collections.nCopies(parameters, ValType.I32), List.of(ValType.I32));
    }

    private void check() throws InvalidPluginException {
        for (int i = 0; i < module.importSection().importCount(); i++) {
            Import wanted = module.importSection().getImport(i);
            HostFunctionSpec specification =
                    wanted.module().equals(IMPORT_MODULE) ? HOST_FUNCTIONS.get(wanted.name()) : null;
            if (specification == null || !(wanted instanceof FunctionImport f)) {
                throw new InvalidPluginException("it imports " + wanted.module() + "." + wanted.name()
                        + "; available are " + IMPORT_MODULE + "." + String.join(", " + IMPORT_MODULE + ".", IMPORTS));
            }
            if (!module.typeSection().getType(f.typeIndex()).equals(type(specification.parameters))) {
                throw new InvalidPluginException("it imports " + IMPORT_MODULE + "." + wanted.name()
                        + " with a wrong type; its parameters are "
                        + specification.parameters + " i32 and its result is one i32");
            }
        }
        requireExport(MEMORY_EXPORT, ExternalType.MEMORY);
        requireExport(ABI_EXPORT, ExternalType.FUNCTION);
        requireExport(HOOK_EXPORT, ExternalType.FUNCTION);
        module.memorySection().ifPresent(m -> {
            if (m.memoryCount() > 0 && m.getMemory(0).limits().initialPages() > configuration.memoryPages()) {
                throw new IllegalArgumentException(
                        "it requires " + m.getMemory(0).limits().initialPages()
                                + " initial pages of memory, and its limit is " + configuration.memoryPages());
            }
        });
    }

    private void requireExport(String name, ExternalType type) throws InvalidPluginException {
        for (int i = 0; i < module.exportSection().exportCount(); i++) {
            if (module.exportSection().getExport(i).name().equals(name)
                    && module.exportSection().getExport(i).exportType() == type) {
                return;
            }
        }
        throw new InvalidPluginException("it lacks the export '" + name + "'");
    }

    /** The host functions that the module imports. */
    List<String> imports() {
        List<String> names = new ArrayList<>();
        for (int i = 0; i < module.importSection().importCount(); i++) {
            names.add(module.importSection().getImport(i).name());
        }
        return names;
    }

    /** Creates a new instance, which runs its start function; on the plug-in's thread, which may be interrupted. */
    void instantiate() throws InvalidPluginException {
        instance = null;
        List<HostFunction> functions = new ArrayList<>();
        HOST_FUNCTIONS.forEach((name, specification) ->
                functions.add(new HostFunction(IMPORT_MODULE, name, type(specification.parameters), (i, arguments) -> {
                    if (invocation == null) {
                        throw new IllegalStateException("host function called outside an invocation");
                    }
                    invocation.countHostCall();
                    return new long[] {specification.call.apply(invocation, i.memory(), arguments)};
                })));
        Instance fresh = Instance.builder(module)
                .withMachineFactory(machineFactory)
                .withMemoryLimits(limits())
                .withImportValues(ImportValues.builder()
                        .addFunction(functions.toArray(HostFunction[]::new))
                        .build())
                .build();
        long abi = fresh.export(ABI_EXPORT).apply()[0];
        if (abi != ABI) {
            throw new InvalidPluginException(
                    "it implements version " + abi + " of the plug-in interface; this program supports version " + ABI);
        }
        hook = fresh.export(HOOK_EXPORT);
        instance = fresh;
    }

    private MemoryLimits limits() {
        int initial = module.memorySection()
                .filter(m -> m.memoryCount() > 0)
                .map(m -> m.getMemory(0).limits().initialPages())
                .orElse(0);
        return new MemoryLimits(Math.min(initial, configuration.memoryPages()), configuration.memoryPages());
    }

    boolean isInstantiated() {
        return instance != null;
    }

    /** Discards the instance: after a call that was interrupted or trapped, its memory may be inconsistent. */
    void discard() {
        instance = null;
    }

    /** Describes a failure in one line. */
    static String describe(Throwable e) {
        return e instanceof StackOverflowError
                ? "its calls are nested too deeply"
                : e instanceof OutOfMemoryError
                        ? "out of memory"
                        : e.getClass().getSimpleName() + ": "
                                + String.valueOf(e.getMessage()).replaceAll("\\s+", " ");
    }

    /** Calls the hook; throws whatever the plug-in's code causes. */
    RequestedChanges onRequest(RequestView request) {
        invocation = new PluginInvocation(request, configuration, store);
        lastInvocation = invocation;
        try {
            hook.apply();
            return invocation.requestedChanges();
        } finally {
            invocation = null;
        }
    }

    /** Commits what the last invocation stored; called once it has succeeded and was not cancelled. */
    void commitStore() {
        lastInvocation.commitStore();
    }
}
