package org.cypressweir.controlplane.storage;

import static org.assertj.core.api.Assertions.assertThat;

import java.lang.reflect.Method;
import java.nio.file.Path;
import org.cypressweir.testkit.PlantedFault;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Torn files and emptied folders find faults that are planted. */
class PlantedStorageFaultsTest {

    @TempDir
    private Path folder;

    @ParameterizedTest(name = "{0}")
    @CsvSource(
            delimiter = '~',
            value = {
                "items are not compared ~ StoreEnvironment.java ~ if (found.sum() != sum) { ~ if (false) {"
                        + " ~ aWriteThatPowerTookLeavesTheStateBeforeOrAfterIt",
                "a torn write is not cut off ~ XodusStore.java ~ StoreEnvironment.cut(named); ~ ; "
                        + "~ aWriteThatPowerTookLeavesTheStateBeforeOrAfterIt",
                "nobody knows how many writes there were ~ WriteCounterFile.java "
                        + "~ channel.write(ByteBuffer.wrap(digits), 0); "
                        + "~ ; ~ whatWasAcknowledgedIsThereOrTheStoreSaysThatItHasForgotten",
                "files that are gone are not missed ~ StoreEnvironment.java ~ if (!now.containsAll(files)) { "
                        + "~ if (false) {"
                        + " ~ logsThatAreGoneTakeNoWrites",
                "full files are mapped ~ StoreEnvironment.java ~ config.setLogCacheUseNio(false); "
                        + "~ config.setLogFileSize(1024); ~ noFileIsMappedAndAnEmptiedFolderTakesNoWrites",
            })
    void eachFaultIsFound(String fault, String file, String text, String instead, String test) throws Exception {
        found(fault, file, text, instead, "org.cypressweir.controlplane.storage.TornWritesTest", test);
    }

    @ParameterizedTest(name = "{0}")
    @CsvSource(
            delimiter = '~',
            value = {
                "a name outlasts its folder ~ XodusStore.java ~ folders.sync(folder); // Before its name. ~ ;",
                "a new file's name is not synced ~ StoreEnvironment.java ~ if (!files.containsAll(now)) { "
                        + "~ if (false) {",
                "a folder that power took while it was made ~ XodusStore.java "
                        + "~ if (witness.number() > 0 || StoreEnvironment.size(one) > BEGUN) { ~ if (true) {",
                "a small file is put in place unsynced ~ DurableDirectories.java ~ force(next); ~ ;",
            })
    void eachLostNameIsFound(String fault, String file, String text, String instead) throws Exception {
        found(fault, file, text, instead, "org.cypressweir.controlplane.storage.LostDirectoryEntriesTest", null);
    }

    private void found(String fault, String file, String text, String instead, String by, String test)
            throws Exception {
        Class<?> planted = new PlantedFault(
                        folder.resolve("planted"),
                        Path.of("src/main/java/org/cypressweir/controlplane/storage"),
                        file,
                        text,
                        instead,
                        name -> name.startsWith("org.cypressweir.controlplane.storage."))
                .loadClass(by);
        Method broken = planted.getDeclaredMethod("broken", Path.class, String.class);
        broken.setAccessible(true);
        assertThat(broken.invoke(null, folder, test)).as(fault).isNotNull();
    }
}
