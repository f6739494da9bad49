package org.tanagermoor.session;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import com.tngtech.archunit.core.domain.JavaClass;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;
import org.tanagermoor.kernel.event.EventType;
import org.tanagermoor.kernel.plugin.Kernel;
import org.tanagermoor.kernel.setting.Setting;

/** Checks that the tables of events and settings in the documentation match the code. */
class DocumentsTest {

    private static final Path DOCS_DIRECTORY = Path.of("..", "docs");

    @Test
    void listsEveryEvent() throws IOException {
        List<EventType> types = eventTypes();

        assertThat(types.stream().map(EventType::number).distinct().count(), is((long) types.size()));
        assertThat(
                rows("EVENTS.md", "| TM-"),
                is(types.stream().map(DocumentsTest::row).collect(lines())));
    }

    @Test
    void listsEverySetting() throws IOException {
        List<Setting<?>> settings = new ArrayList<>(Kernel.load().settings());
        settings.sort(Comparator.comparing(Setting::name));

        String documentedRows = rows("CONFIGURATION.md", "| `--");

        for (Setting<?> setting : settings) {
            assertThat(
                    "docs/CONFIGURATION.md lacks the row\n" + row(setting),
                    documentedRows.contains(row(setting)),
                    is(true));
        }
    }

    private static List<EventType> eventTypes() {
        return new ClassFileImporter()
                        .withImportOption(ImportOption.Predefined.DO_NOT_INCLUDE_TESTS)
                        .importPackages("org.tanagermoor")
                        .stream()
                        .filter(found -> found.isEnum() && found.isAssignableTo(EventType.class))
                        .map(JavaClass::reflect)
                        .flatMap(type -> Arrays.stream(type.getEnumConstants()))
                        .map(EventType.class::cast)
                        .sorted(Comparator.comparingInt(EventType::number))
                        .toList();
    }

    private static String row(EventType type) {
        return "| " + type.code() + " | " + type.name() + " | "
                + type.level().name().toLowerCase(Locale.ROOT) + " | " + type.text() + " |";
    }

    private static String row(Setting<?> setting) {
        String fallback = setting.fallback() == null ? "must be given" : "`" + setting.fallback() + "`";
        return "| `" + setting.flag() + "` | `" + setting.variable() + "` | " + fallback + " | " + setting.description()
                + " |";
    }

    private static String rows(String fileName, String prefix) throws IOException {
        try (var found = Files.lines(DOCS_DIRECTORY.resolve(fileName))) {
            return found.filter(line -> line.startsWith(prefix)).collect(lines());
        }
    }

    private static java.util.stream.Collector<CharSequence, ?, String> lines() {
        return Collectors.joining("\n");
    }
}
