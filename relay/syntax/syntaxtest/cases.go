package syntaxtest

import (
	"strings"
)

// Names of the cases.
const (
	Sound = "a sound text"
	// Unknown has a field that no decoder knows.
	Unknown     = "an unknown field"
	Missing     = "a missing field"
	OtherType   = "a value of another type"
	Null        = "a value that is null"
	Deep        = "an unknown field nested 20,000 deep"
	DeepValue   = "a value nested 20,000 deep"
	NoNumber    = "a number that no type holds"
	Digits      = "a number of 100,000 digits"
	Trailing    = "another text behind it"
	Closed      = "closing brackets behind it"
	Torn        = "the end cut off"
	Twice       = "a field given twice"
	TwiceEscape = "a field given twice, once with an escape"
	TwiceOther  = "an unknown field given twice"
	OtherCase   = "a field in another case"
	BothCases   = "a field in another case beside it"
	NotUTF8     = "bytes that are no UTF-8"
	HalfRune    = "half a character"
	Large       = "an unknown field of 10 MB"
)

// Case is a text and the name of what is odd in it.
type Case struct{ Name, Text string }

// Cases returns the cases of a text that is an object of JSON and has a field with a name and value in that form: "name":value. The field is
// followed by another one.
func Cases(sound, name, value string) []Case {
	field := `"` + name + `":` + value
	if strings.Count(sound, field+",") != 1 || !strings.HasPrefix(sound, "{") {
		panic("syntaxtest: the text must be an object with the field " + field + " once, and another one behind it")
	}
	put := func(text string) string { return strings.Replace(sound, field+",", text, 1) }
	beside := func(text string) string { return put(field + "," + text + ",") }
	with := func(value string) string { return put(`"` + name + `":` + value + `,`) }
	upper := `"` + strings.ToUpper(name[:1]) + name[1:] + `":` + value
	nested := strings.Repeat("[", 20_000) + strings.Repeat("]", 20_000)
	return []Case{
		{Sound, sound},
		{Unknown, beside(`"odd":{"odd":[1,"\u00e9",null]}`)},
		{Missing, put("")},
		{OtherType, with(`{"odd":[]}`)},
		{Null, with("null")},
		{Deep, beside(`"odd":` + nested)},
		{DeepValue, with(nested)},
		{NoNumber, with("1e999")},
		{Digits, with(strings.Repeat("9", 100_000))},
		{Trailing, sound + sound},
		{Closed, sound + "]}"},
		{Torn, sound[:len(sound)-1]},
		{Twice, beside(field)},
		{TwiceEscape, beside(`"\u00` + hex(name[0]) + name[1:] + `":` + value)},
		{TwiceOther, beside(`"odd":1,"odd":1`)},
		{OtherCase, put(upper + ",")},
		{BothCases, beside(upper)},
		{NotUTF8, beside("\"odd\":\"\xff\"")},
		{HalfRune, beside(`"odd":"\ud800"`)},
		{Large, beside(`"odd":"` + strings.Repeat("a", 10<<20) + `"`)},
	}
}

func hex(c byte) string {
	const digits = "0123456789abcdef"
	return string([]byte{digits[c>>4], digits[c&15]})
}
