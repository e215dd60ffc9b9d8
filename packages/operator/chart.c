#include "operator.h"

/*
 * One group of three bars for each team. Each measure has a scale of its own
 * (its largest value fills the width), because processor hours, GiB hours and
 * accelerator hours differ by orders of magnitude; the value stands beside
 * the bar.
 */

enum {
    MEASURES = 3,
    LABEL_WIDTH = 200,
    BAR_WIDTH = 440,
    VALUE_WIDTH = 160,
    BAR_HEIGHT = 14,
    GROUP_GAP = 12,
    HEADER_HEIGHT = 64,
    MARGIN = 16,
};

struct measure {
    const char *label;
    const char *colour;
    double scale; /* units of the counter in one hour */
};

static const struct measure measures[MEASURES] = {
    {"processor hours", "#1f77b4", 3600.0 * 1000},
    {"memory GiB hours", "#2ca02c", 3600.0 * 1024},
    {"accelerator hours", "#d62728", 3600.0 * 1000},
};

static double
measure_value(const struct operator_usage_team *t, int measure)
{
    uint64_t raw = measure == 0   ? t->cpu_ms
                   : measure == 1 ? t->memory_mib_s
                                  : t->accelerator_ms;

    return (double)raw / measures[measure].scale;
}

static void
append_escaped(struct buf *out, struct str text)
{
    for (size_t i = 0; i < text.len; i++) {
        switch (text.ptr[i]) {
        case '<':
            buf_append_str(out, STR("&lt;"));
            break;
        case '>':
            buf_append_str(out, STR("&gt;"));
            break;
        case '&':
            buf_append_str(out, STR("&amp;"));
            break;
        case '"':
            buf_append_str(out, STR("&quot;"));
            break;
        default:
            buf_append(out, &text.ptr[i], 1);
        }
    }
}

static void
append_header(const struct operator_usage *usage, struct buf *out)
{
    buf_printf(out, "<text x=\"%d\" y=\"28\" font-size=\"16\">Usage in ",
               MARGIN);
    append_escaped(out, usage->month);
    buf_append_str(out, STR("</text>\n"));
    for (int m = 0; m < MEASURES; m++) {
        int x = MARGIN + m * 170;

        buf_printf(out,
                   "<rect x=\"%d\" y=\"40\" width=\"12\" height=\"12\" "
                   "fill=\"%s\"/><text x=\"%d\" y=\"50\">%s</text>\n",
                   x, measures[m].colour, x + 18, measures[m].label);
    }
}

static void
append_bar(struct buf *out, int measure, double value, double most, int y)
{
    double width = most > 0 ? value / most * BAR_WIDTH : 0;

    buf_printf(out,
               "<rect x=\"%d\" y=\"%d\" width=\"%.1f\" height=\"%d\" "
               "fill=\"%s\"/><text x=\"%.1f\" y=\"%d\">%.2f</text>\n",
               LABEL_WIDTH, y, width, BAR_HEIGHT - 2, measures[measure].colour,
               LABEL_WIDTH + width + 6, y + BAR_HEIGHT - 4, value);
}

static double
largest(const struct operator_usage *usage, int measure)
{
    double most = 0;

    for (size_t i = 0; i < usage->count; i++) {
        double value = measure_value(&usage->teams[i], measure);

        most = value > most ? value : most;
    }
    return most;
}

void
operator_usage_chart(const struct operator_usage *usage, struct buf *out)
{
    int group = MEASURES * BAR_HEIGHT + GROUP_GAP;
    int width = LABEL_WIDTH + BAR_WIDTH + VALUE_WIDTH;
    size_t height = HEADER_HEIGHT + usage->count * (size_t)group + MARGIN;
    int y = HEADER_HEIGHT;
    double most[MEASURES];

    for (int m = 0; m < MEASURES; m++) {
        most[m] = largest(usage, m);
    }
    buf_printf(out,
               "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"%d\" "
               "height=\"%zu\" font-family=\"sans-serif\" "
               "font-size=\"11\">\n"
               "<rect width=\"100%%\" height=\"100%%\" fill=\"#ffffff\"/>\n",
               width, height);
    append_header(usage, out);
    for (size_t i = 0; i < usage->count; i++) {
        buf_printf(out, "<text x=\"%d\" y=\"%d\" font-size=\"13\">", MARGIN,
                   y + 2 * BAR_HEIGHT - 4);
        append_escaped(out, usage->teams[i].team);
        buf_append_str(out, STR("</text>\n"));
        for (int m = 0; m < MEASURES; m++) {
            append_bar(out, m, measure_value(&usage->teams[i], m), most[m],
                       y + m * BAR_HEIGHT);
        }
        y += group;
    }
    buf_append_str(out, STR("</svg>\n"));
}
