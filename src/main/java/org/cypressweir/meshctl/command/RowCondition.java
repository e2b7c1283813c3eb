package org.cypressweir.meshctl.command;

/** A condition on the rows of a table: the text that a column must have. */
record RowCondition(String column, String value) {

    /** Parses {@code COLUMN=VALUE}; null where the text has no column. */
    static RowCondition parse(String text) {
        int separator = text.indexOf('=');
        return separator < 1 ? null : new RowCondition(text.substring(0, separator), text.substring(separator + 1));
    }
}
