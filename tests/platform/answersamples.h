#pragma once

#include <ostream>
#include <string>
#include <vector>

namespace clementinebeam::test {

/// An answer, byte for byte, but for the fields that its receiver expects of any answer.
struct answer_sample {
    std::string name;
    std::string statusLine;
    std::string fields; ///< With their line ends.
    std::string body;
    /// The fields stay the first ones: after another field, they would mean something else.
    bool isFirst = false;

    /// @param expected fields that the receiver expects, with their line ends.
    /// @param isExpectedFirst whether they precede the sample's fields.
    /// @return the bytes of the answer.
    std::string bytes(const std::string &expected, bool isExpectedFirst = false) const
    {
        const bool isBefore = isExpectedFirst && !isFirst;
        return statusLine + "\r\n" + (isBefore ? expected + fields : fields + expected) + "\r\n"
                + body;
    }
};

inline std::ostream &operator<<(std::ostream &stream, const answer_sample &sample)
{
    return stream << sample.name;
}

inline const std::string STATUS_OK = "HTTP/1.1 200 OK";
inline const std::string WHOLE = "Content-Length: 5\r\n";
inline const std::string CHUNKED_FIELD = "Transfer-Encoding: chunked\r\n";

/// @return answers whose status line is none, or whose status no answer may have.
inline std::vector<answer_sample> answersWithBrokenStatus()
{
    std::vector<answer_sample> samples;
    for (const auto *line :
         {"HTTP/1.1 000 OK", "HTTP/1.1 099 OK", "HTTP/1.1 600 OK", "HTTP/1.1 999 OK",
          "HTTP/1.1 20 OK", "HTTP/1.1 2000 OK", "HTTP/1.1 2x0 OK", "HTTP/1.1 -20 OK",
          "HTTP/1.1  200 OK", "HTTP/1.1 200\tOK", "HTTP/1.1 200 O\x01K", "HTTP/2.0 200 OK",
          "HTTP/0.9 200 OK", "HTTP/1.12 200 OK", "http/1.1 200 OK", "ICY 200 OK", "200 OK",
          "HTTP/1.1 101 Switching Protocols"})
        samples.push_back({line, line, WHOLE, "whole"});
    return samples;
}

/// @return answers with a line in their head that is no field.
inline std::vector<answer_sample> answersWithBrokenFields()
{
    std::vector<answer_sample> samples;
    const auto add = [&](const std::string &name, const std::string &line, bool isFirst = false) {
        samples.push_back({name, STATUS_OK, line + "\r\n" + WHOLE, "whole", isFirst});
    };
    add("blank in a name", "Bad Name: 1");
    add("blank after a name", "Name : 1");
    add("tab after a name", "Name\t: 1");
    add("tab in a name", "Bad\tName: 1");
    add("control byte in a name", "Bad\x01Name: 1");
    add("control byte before a name", "\x01Name: 1");
    add("vertical tab before a name", "\vName: 1");
    add("escape after a name", "Name\x1b: 1");
    add("delete in a name", "Bad\x7fName: 1");
    add("zero byte in a name", std::string("Bad\0Name: 1", 11));
    add("byte beyond ASCII in a name", "Bad\xe9Name: 1");
    add("separator in a name", "Bad(Name): 1");
    add("empty name", ": 1");
    add("no colon", "Name");
    add("blank before the first name", " Name: 1", true);
    add("only a blank", " ", true);
    add("control byte in a value", "Name: a\x01z");
    add("delete in a value", "Name: a\x7fz");
    add("zero byte in a value", std::string("Name: a\0z", 9));
    add("carriage return in a value", "Name: a\rz");
    add("line feed in a value", "Name: a\nOther: z");
    samples.push_back({"length with a blank after its name", STATUS_OK, "Content-Length : 5\r\n",
                       "whole and more"});
    samples.push_back({"length after a control byte", STATUS_OK,
                       "Content-Length: 5\r\n\x01Content-Length: 2\r\n", "whole"});
    samples.push_back({"chunks with a blank after the name", STATUS_OK,
                       "Transfer-Encoding : chunked\r\n" + WHOLE, "5\r\nwhole\r\n0\r\n\r\n"});
    return samples;
}

/// @return answers whose head does not say where their body ends, or contradicts itself.
inline std::vector<answer_sample> answersWithBrokenLength()
{
    const std::string chunks = "5\r\nwhole\r\n0\r\n\r\n";
    std::vector<answer_sample> samples;
    for (const auto *length :
         {"-5", "+5", "5x", "0x5", "5.0", "", "5, 6", "5,", "5 5", "99999999999999999999999999"})
        samples.push_back({std::string("length \"") + length + '"', STATUS_OK,
                           std::string("Content-Length: ") + length + "\r\n", "whole"});
    samples.push_back(
            {"two lengths", STATUS_OK, "Content-Length: 5\r\nContent-Length: 6\r\n", "whole "});
    samples.push_back({"length and chunks", STATUS_OK, WHOLE + CHUNKED_FIELD, chunks});
    samples.push_back({"chunks and length", STATUS_OK, CHUNKED_FIELD + WHOLE, chunks});
    for (const auto *coding : {"gzip", "gzip, chunked", "chunked, gzip", "chunked, chunked",
                               "xchunked", "chunked;q=1", "identity", ""})
        samples.push_back({std::string("transfer coding \"") + coding + '"', STATUS_OK,
                           std::string("Transfer-Encoding: ") + coding + "\r\n", chunks});
    samples.push_back({"two transfer codings", STATUS_OK,
                       "Transfer-Encoding: gzip\r\n" + CHUNKED_FIELD, chunks});
    samples.push_back({"transfer coding and length", STATUS_OK,
                       "Transfer-Encoding: gzip\r\n" + WHOLE, "whole"});
    samples.push_back({"chunks in HTTP/1.0", "HTTP/1.0 200 OK", CHUNKED_FIELD, chunks});
    samples.push_back({"body of 204", "HTTP/1.1 204 No Content", WHOLE, "whole"});
    samples.push_back({"chunks of 204", "HTTP/1.1 204 No Content", CHUNKED_FIELD, chunks});
    const std::vector<std::string> brokenChunks{
            "x\r\nwhole\r\n0\r\n\r\n",
            "-5\r\nwhole\r\n0\r\n\r\n",
            "5\r\nwholemore\r\n0\r\n\r\n",
            "5\r\nwhole0\r\n\r\n",
            "5\nwhole\r\n0\r\n\r\n",
            "10000000000000005\r\nwhole\r\n0\r\n\r\n",
            "5 x\r\nwhole\r\n0\r\n\r\n",
            "\r\n5\r\nwhole\r\n0\r\n\r\n",
            "5\r\nwhole\r\n0\r\nBad Name: 1\r\n\r\n",
            "5\r\nwhole\r\n0\r\nContent-Length: 5\r\n\r\n",
    };
    for (const auto &broken : brokenChunks)
        samples.push_back({"chunks " + broken, STATUS_OK, CHUNKED_FIELD, broken});
    return samples;
}

/// @return all broken answers of the functions above.
inline std::vector<answer_sample> brokenAnswers()
{
    auto samples = answersWithBrokenStatus();
    for (const auto &more : {answersWithBrokenFields(), answersWithBrokenLength()})
        samples.insert(samples.end(), more.begin(), more.end());
    return samples;
}

/// An answer that has to pass.
struct sound_sample {
    answer_sample answer;
    unsigned status = 200;
    std::string body = "whole";
    bool hasLength = true;    ///< Its head tells the length of its body.
    bool endsByClose = false; ///< Its body ends with the connection.
};

inline std::ostream &operator<<(std::ostream &stream, const sound_sample &sample)
{
    return stream << sample.answer;
}

/// @return answers that are unusual, but as HTTP/1.1 allows them.
inline std::vector<sound_sample> soundAnswers()
{
    std::vector<sound_sample> samples;
    const auto addField = [&](const std::string &name, const std::string &line) {
        samples.push_back({{name, STATUS_OK, line + "\r\n" + WHOLE, "whole"}});
    };
    addField("all characters of names", "!#$%&'*+-.^_`|~09AZaz: 1");
    addField("empty value", "Name:");
    addField("blank value", "Name: \t ");
    addField("no blank before a value", "Name:1");
    addField("blanks around a value", "Name: \t 1 \t");
    addField("bytes beyond ASCII in a value", "Name: caf\xe9 \xff");
    addField("tab in a value", "Name: a\tz");
    addField("separators in a value", "Name: a:b;c=\"d\"{}(),/");
    addField("folded value", "Name: a\r\n z");
    addField("repeated field", "Name: a\r\nName: z");
    addField("long value", "Name: " + std::string(4000, 'v'));
    addField("offer of another protocol", "Upgrade: h2c\r\nConnection: upgrade");
    addField("announced close", "Connection: close");
    samples.push_back({{"many fields", STATUS_OK, {}, "whole"}});
    for (int number = 0; number < 50; ++number)
        samples.back().answer.fields += "Name-" + std::to_string(number) + ": 1\r\n";
    samples.back().answer.fields += WHOLE;
    samples.push_back({{"length twice", STATUS_OK, WHOLE + WHOLE, "whole"}});
    samples.push_back({{"length as a list", STATUS_OK, "Content-Length: 5, 5\r\n", "whole"}});
    samples.push_back({{"length with zeros", STATUS_OK, "content-length: 0005\r\n", "whole"}});
    samples.push_back({{"no reason phrase", "HTTP/1.1 200 ", WHOLE, "whole"}});
    samples.push_back(
            {{"bytes beyond ASCII in the reason", "HTTP/1.1 200 tr\xe8s bien", WHOLE, "whole"}});
    samples.push_back({{"unassigned status", "HTTP/1.1 299 Fine", WHOLE, "whole"}, 299});
    samples.push_back({{"highest status", "HTTP/1.1 599 None", WHOLE, "whole"}, 599});
    samples.push_back({{"HTTP/1.0", "HTTP/1.0 200 OK", WHOLE, "whole"}});
    samples.push_back({{"no content", "HTTP/1.1 204 No Content", {}, {}}, 204, {}});
    samples.push_back(
            {{"no content of length 0", "HTTP/1.1 204 No Content", "Content-Length: 0\r\n", {}},
             204,
             {}});
    samples.push_back({{"not modified", "HTTP/1.1 304 Not Modified", WHOLE, {}}, 304, {}});
    samples.push_back({{"interim answers before it",
                        "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: </x>\r\n"
                        "\r\nHTTP/1.1 200 OK",
                        WHOLE, "whole"}});
    const std::vector<std::string> chunks{
            "5\r\nwhole\r\n0\r\n\r\n",
            "0002\r\nwh\r\n3\r\nole\r\n000\r\n\r\n",
            "5;name=value;other=\"quoted; text\"\r\nwhole\r\n0\r\n\r\n",
            "5\r\nwhole\r\n0\r\nTrailer-Field: 1\r\n\r\n",
    };
    for (const auto &text : chunks)
        samples.push_back(
                {{"chunks " + text, STATUS_OK, CHUNKED_FIELD, text}, 200, "whole", false});
    samples.push_back({{"capital letters", STATUS_OK, "TRANSFER-ENCODING: Chunked\r\n", chunks[0]},
                       200,
                       "whole",
                       false});
    samples.push_back({{"no length", STATUS_OK, {}, "whole"}, 200, "whole", false, true});
    samples.push_back(
            {{"no length, HTTP/1.0", "HTTP/1.0 200 OK", {}, "whole"}, 200, "whole", false, true});
    samples.push_back({{"no length, empty", STATUS_OK, {}, {}}, 200, {}, false, true});
    return samples;
}

} // namespace clementinebeam::test
