package org.tanagermoor.kernel.daemon;

import io.vavr.control.Either;
import java.io.IOException;
import java.io.Reader;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Properties;

/** Reads a settings file of lines {@code name = value}, where a name is that of the flag without the dashes. */
final class SettingsFile {

    private SettingsFile() {}

    /**
     * Reads a settings file.
     *
     * @param path The path of the file; empty for no file.
     * @return The non-empty values by name, or a description of why the file cannot be read.
     */
    static Either<List<String>, Map<String, String>> read(String path) {
        if (path.isEmpty()) {
            return Either.right(Map.of());
        }
        Properties properties = new Properties();
        try (Reader reader = Files.newBufferedReader(Path.of(path))) {
            properties.load(reader);
        } catch (IOException | IllegalArgumentException exception) {
            return Either.left(List.of("the file with settings cannot be read: " + exception));
        }
        Map<String, String> values = new HashMap<>();
        for (String name : properties.stringPropertyNames()) {
            String value = properties.getProperty(name).strip();
            if (!value.isEmpty()) {
                values.put(name, value);
            }
        }
        return Either.right(values);
    }
}
