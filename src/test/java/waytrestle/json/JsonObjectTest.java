package waytrestle.json;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Iterator;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.function.Executable;

class JsonObjectTest {
    private static final JsonObject OBJECT =
            JsonObject.parse(
                    """
                    {"whole": 7, "fraction": 2.5, "wide": 4294967297, "flag": true, "text": "word",
                     "none": null, "empty": "", "object": {"inner": 1, "other": "x"},
                     "objects": [{"inner": 1}, 7], "texts": ["a", "b"], "mixed": [1, "x", 2.5]}
                    """,
                    "the fixture");

    private static void assertMalformed(String message, Executable getter) {
        assertEquals(message, assertThrows(MalformedJsonException.class, getter).getMessage());
    }

    @Test
    void presentMemberIsReturnedAsItsType() {
        assertEquals(2.5, OBJECT.number("fraction"));
        assertEquals(7, OBJECT.number("whole"));
        assertEquals(7, OBJECT.wholeNumber("whole"));
        assertEquals(7, OBJECT.requiredWholeNumber("whole"));
        assertTrue(OBJECT.flag("flag"));
        assertEquals("word", OBJECT.requiredText("text"));
        assertEquals(1, OBJECT.object("object").wholeNumber("inner"));
        assertEquals(List.of("a", "b"), OBJECT.texts("texts"));
    }

    @Test
    void absentOrNullMemberIsReturnedAsEmptyValue() {
        for (String name : List.of("absent", "none")) {
            assertEquals(0, OBJECT.number(name));
            assertEquals(0, OBJECT.wholeNumber(name));
            assertFalse(OBJECT.flag(name));
            assertEquals("", OBJECT.text(name));
            assertEquals("", OBJECT.object(name).text("inner"));
            assertTrue(OBJECT.objects(name).isEmpty());
            assertTrue(OBJECT.texts(name).isEmpty());
        }
    }

    @Test
    void numberDefaultAppliesToAbsentButNotToNullMember() {
        assertEquals(3, OBJECT.numberOrDefault("absent", 3));
        assertEquals(0, OBJECT.numberOrDefault("none", 3));
        assertEquals(7, OBJECT.numberOrDefault("whole", 3));
    }

    @Test
    void nullMemberIsPresentAndMissingMemberIsAbsent() {
        assertTrue(OBJECT.has("none"));
        assertFalse(OBJECT.has("absent"));
    }

    @Test
    void wholeNumberIsRoundedAndWholeIntKeepsLow32Bits() {
        assertEquals(3, OBJECT.wholeNumber("fraction"));
        assertEquals(1, OBJECT.wholeInt("wide"));
        assertEquals(1, OBJECT.requiredWholeInt("wide"));
    }

    @Test
    void memberOfAnotherTypeIsRejectedWithItsName() {
        assertMalformed("text must be a number", () -> OBJECT.number("text"));
        assertMalformed("text must be a whole number", () -> OBJECT.wholeNumber("text"));
        assertMalformed("text must be true or false", () -> OBJECT.flag("text"));
        assertMalformed("flag must be text", () -> OBJECT.text("flag"));
        assertMalformed("flag must be an object", () -> OBJECT.object("flag"));
        assertMalformed("flag must be an array", () -> OBJECT.objects("flag"));
        assertMalformed("mixed must hold texts", () -> OBJECT.texts("mixed"));
    }

    @Test
    void requiredMemberIsRejectedIfAbsentNullOrEmpty() {
        assertMalformed("absent is missing", () -> OBJECT.requiredWholeNumber("absent"));
        assertMalformed("none is missing", () -> OBJECT.requiredWholeInt("none"));
        assertMalformed("absent is missing", () -> OBJECT.requiredText("absent"));
        assertMalformed("empty is missing", () -> OBJECT.requiredText("empty"));
    }

    @Test
    void arrayElementThatIsNotAnObjectIsRejectedOnlyWhenRead() {
        Iterator<JsonObject> elements = OBJECT.objects("objects").iterator();
        assertEquals(1, elements.next().wholeNumber("inner"));
        assertMalformed("objects must be an object", elements::next);
        List<JsonObject> elementsNamedOuter = OBJECT.objects("objects", "outer.objects");
        assertMalformed("outer.objects must be an object", () -> elementsNamedOuter.get(1));
    }

    @Test
    void numericMembersOmitsMembersOfOtherTypes() {
        assertEquals(Map.of("inner", 1.0), OBJECT.object("object").numericMembers());
        assertEquals(Map.of(), OBJECT.object("absent").numericMembers());
    }

    @Test
    void numbersReturnsZeroForNonNumericElements() {
        assertEquals(List.of(1.0, 0.0, 2.5), OBJECT.numbers("mixed"));
    }

    @Test
    void parseRejectsTextThatIsNotExactlyOneObject() {
        assertMalformed("a line must be a JSON object", () -> JsonObject.parse("[]", "a line"));
        assertMalformed("a line must be a JSON object", () -> JsonObject.parse("", "a line"));
        assertMalformed(
                "a line has text after its JSON object", () -> JsonObject.parse("{} {}", "a line"));
        String truncatedTextMessage =
                assertThrows(
                                MalformedJsonException.class,
                                () -> JsonObject.parse("{\"a\":", "a line"))
                        .getMessage();
        assertTrue(truncatedTextMessage.startsWith("a line is not JSON: "), truncatedTextMessage);
        assertEquals(1, truncatedTextMessage.lines().count(), truncatedTextMessage);
    }
}
