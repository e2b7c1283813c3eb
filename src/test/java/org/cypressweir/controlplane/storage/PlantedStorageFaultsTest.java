package org.cypressweir.controlplane.storage;

import static org.assertj.core.api.Assertions.assertThat;

import java.lang.reflect.Method;
import java.nio.file.Path;
import org.cypressweir.testkit.PlantedFault;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Plants faults in the storage code; the tests of incomplete writes and lost directory entries find each of them. */
class PlantedStorageFaultsTest {

    @TempDir
    private Path temporary;

    @ParameterizedTest(name = "{0}")
    @CsvSource(
            delimiter = '~',
            value = {
                "items are not compared ~ StateRecords.java ~ if (checksum.itemsSum() != itemsSum) { ~ if (false) {"
                        + " ~ incompleteWriteLeavesStateBeforeOrAfterIt",
                "an incomplete write is not removed ~ XodusStore.java "
                        + "~ XodusLogFiles.truncateLastWrite(directory); ~ ; "
                        + "~ incompleteWriteLeavesStateBeforeOrAfterIt",
                "the write count is not stored ~ WriteCounterFile.java "
                        + "~ channel.write(ByteBuffer.wrap(digits), 0); "
                        + "~ ; ~ damageLosesNoAcknowledgedWriteUnnoticed",
                "missing log files are not detected ~ StoreEnvironment.java "
                        + "~ if (!present.containsAll(syncedFiles)) { "
                        + "~ if (false) {"
                        + " ~ missingLogFilesFailWrites",
                "log files are memory-mapped ~ StoreEnvironment.java ~ config.setLogCacheUseNio(false); "
                        + "~ config.setLogFileSize(1024); ~ noFileIsMappedAndEmptiedDirectoryFailsWrites",
            })
    void eachFaultIsFound(String fault, String file, String text, String replacement, String testMethod)
            throws Exception {
        assertFound(fault, file, text, replacement, "org.cypressweir.controlplane.storage.TornWritesTest", testMethod);
    }

    @ParameterizedTest(name = "{0}")
    @CsvSource(
            delimiter = '~',
            value = {
                "the directory is not synced before it is named ~ XodusStore.java "
                        + "~ directories.sync(root); // Before its name is written. ~ ;",
                "a new file's name is not synced ~ StoreEnvironment.java "
                        + "~ if (!syncedFiles.containsAll(present)) { "
                        + "~ if (false) {",
                "an incomplete new directory is not replaced ~ XodusStore.java "
                        + "~ if (counterFile.writeCount() > 0 "
                        + "|| XodusLogFiles.sizeBytes(directory) > EMPTY_ENVIRONMENT_BYTES) { ~ if (true) {",
                "a small file is replaced without a sync ~ DurableDirectories.java ~ force(replacement); ~ ;",
            })
    void eachLostEntryFaultIsFound(String fault, String file, String text, String replacement) throws Exception {
        assertFound(
                fault, file, text, replacement, "org.cypressweir.controlplane.storage.LostDirectoryEntriesTest", null);
    }

    private void assertFound(
            String fault, String file, String text, String replacement, String testClass, String testMethod)
            throws Exception {
        Class<?> planted = new PlantedFault(
                        temporary.resolve("planted"),
                        Path.of("src/main/java/org/cypressweir/controlplane/storage"),
                        file,
                        text,
                        replacement,
                        name -> name.startsWith("org.cypressweir.controlplane.storage."))
                .loadClass(testClass);
        Method firstFailure = planted.getDeclaredMethod("firstFailure", Path.class, String.class);
        firstFailure.setAccessible(true);
        assertThat(firstFailure.invoke(null, temporary, testMethod)).as(fault).isNotNull();
    }
}
