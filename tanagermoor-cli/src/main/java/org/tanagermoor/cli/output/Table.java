package org.tanagermoor.cli.output;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.Map;

/** Formats JSON as readable text: an array of objects as a table, an object as one line for each field. */
public final class Table {

    private static final String COLUMN_GAP = "  ";

    private Table() {}

    /** Returns a document as readable text that ends with a line break unless it is empty. */
    public static String of(JsonNode document) {
        if (document.isArray()) {
            return document.isEmpty() ? "none\n" : formatTable(document);
        }
        return document.isObject() ? formatFields(document, "") : formatValue(document) + "\n";
    }

    /** Formats an array of objects with a column for each field that any of them has. */
    private static String formatTable(JsonNode array) {
        List<String> names = new ArrayList<>();
        for (JsonNode row : array) {
            for (Iterator<String> formatFields = row.fieldNames(); formatFields.hasNext(); ) {
                String name = formatFields.next();
                if (!names.contains(name)) {
                    names.add(name);
                }
            }
        }
        if (names.isEmpty()) {
            StringBuilder lines = new StringBuilder();
            array.forEach(value -> lines.append(formatValue(value)).append('\n'));
            return lines.toString();
        }
        List<List<String>> cells = new ArrayList<>();
        cells.add(names);
        for (JsonNode row : array) {
            cells.add(names.stream().map(name -> formatValue(row.path(name))).toList());
        }
        return align(cells);
    }

    /** Pads cells to aligned columns. All rows must have the same length. */
    private static String align(List<List<String>> cells) {
        int columns = cells.get(0).size();
        int[] widths = new int[columns];
        for (List<String> row : cells) {
            for (int column = 0; column < columns; column++) {
                widths[column] = Math.max(widths[column], row.get(column).length());
            }
        }
        StringBuilder lines = new StringBuilder();
        for (List<String> row : cells) {
            StringBuilder line = new StringBuilder();
            for (int column = 0; column < columns; column++) {
                String cell = row.get(column);
                line.append(cell)
                        .append(" ".repeat(widths[column] - cell.length()))
                        .append(COLUMN_GAP);
            }
            lines.append(line.toString().stripTrailing()).append('\n');
        }
        return lines.toString();
    }

    /** Formats an object as one line for each field; arrays of objects follow as tables. */
    private static String formatFields(JsonNode object, String indent) {
        StringBuilder lines = new StringBuilder();
        for (Map.Entry<String, JsonNode> field : object.properties()) {
            JsonNode value = field.getValue();
            lines.append(indent).append(field.getKey()).append(':');
            if (value.isObject() && !value.isEmpty()) {
                lines.append('\n').append(formatFields(value, indent + COLUMN_GAP));
            } else if (value.isArray() && !value.isEmpty() && value.get(0).isObject()) {
                lines.append('\n').append(formatTable(value).indent(indent.length() + COLUMN_GAP.length()));
            } else {
                lines.append(' ').append(formatValue(value)).append('\n');
            }
        }
        return lines.toString();
    }

    private static String formatValue(JsonNode value) {
        return value.isValueNode() ? value.asText() : value.isMissingNode() ? "" : value.toString();
    }
}
