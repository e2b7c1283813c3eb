package org.cypressweir.meshctl.command;

import org.cypressweir.meshctl.validation.SettingsCheck.Program;
import picocli.CommandLine.ITypeConverter;
import picocli.CommandLine.TypeConversionException;

/** Converts the name or former name of a program. */
final class ProgramConverter implements ITypeConverter<Program> {

    @Override
    public Program convert(String name) {
        return Program.named(name)
                .orElseThrow(() -> new TypeConversionException("expected proxy or controller, but was '" + name + "'"));
    }
}
