package larkbank.hold;

import static org.assertj.core.api.Assertions.assertThat;

import java.lang.reflect.Method;
import java.nio.file.Path;
import larkbank.testkit.Planted;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Torn files and emptied folders find faults that are planted. */
class PlantedHoldFaultsTest {

    @TempDir
    private Path folder;

    @ParameterizedTest(name = "{0}")
    @CsvSource(
            delimiter = '~',
            value = {
                "items are not compared ~ Generation.java ~ if (found.sum() != sum) { ~ if (false) {"
                        + " ~ aWriteThatPowerTookLeavesTheStateBeforeOrAfterIt",
                "a torn write is not cut off ~ XodusStore.java ~ Generation.cut(named); ~ ; "
                        + "~ aWriteThatPowerTookLeavesTheStateBeforeOrAfterIt",
                "nobody knows how many writes there were ~ Witness.java ~ channel.write(ByteBuffer.wrap(digits), 0); "
                        + "~ ; ~ whatWasAcknowledgedIsThereOrTheStoreSaysThatItHasForgotten",
                "files that are gone are not missed ~ Generation.java ~ if (!now.containsAll(files)) { ~ if (false) {"
                        + " ~ logsThatAreGoneTakeNoWrites",
                "full files are mapped ~ Generation.java ~ config.setLogCacheUseNio(false); "
                        + "~ config.setLogFileSize(1024); ~ noFileIsMappedAndAnEmptiedFolderTakesNoWrites",
            })
    void eachFaultIsFound(String fault, String file, String text, String instead, String test) throws Exception {
        found(fault, file, text, instead, "larkbank.hold.TornFilesTest", test);
    }

    @ParameterizedTest(name = "{0}")
    @CsvSource(
            delimiter = '~',
            value = {
                "a name outlasts its folder ~ XodusStore.java ~ folders.sync(folder); // Before its name. ~ ;",
                "a new file's name is not synced ~ Generation.java ~ if (!files.containsAll(now)) { ~ if (false) {",
                "a folder that power took while it was made ~ XodusStore.java "
                        + "~ if (witness.number() > 0 || Generation.size(one) > BEGUN) { ~ if (true) {",
                "a small file is put in place unsynced ~ Folders.java ~ force(next); ~ ;",
            })
    void eachLostNameIsFound(String fault, String file, String text, String instead) throws Exception {
        found(fault, file, text, instead, "larkbank.hold.LostNamesTest", null);
    }

    private void found(String fault, String file, String text, String instead, String by, String test)
            throws Exception {
        Class<?> planted = new Planted(
                        folder.resolve("planted"),
                        Path.of("src/main/java/larkbank/hold"),
                        file,
                        text,
                        instead,
                        name -> name.startsWith("larkbank.hold."))
                .loadClass(by);
        Method broken = planted.getDeclaredMethod("broken", Path.class, String.class);
        broken.setAccessible(true);
        assertThat(broken.invoke(null, folder, test)).as(fault).isNotNull();
    }
}
