package org.cypressweir.meshctl.command;

import org.cypressweir.meshctl.validation.SettingsCheck.Program;
import picocli.CommandLine.ITypeConverter;
import picocli.CommandLine.TypeConversionException;

/** Reads the name of a program, present or former. */
final class ProgramConverter implements ITypeConverter<Program> {

    @Override
    public Program convert(String name) {
        return Program.named(name)
                .orElseThrow(() -> new TypeConversionException("expected proxy or controller, but was '" + name + "'"));
    }
}
