/**
 * Bitmap font of 5 by 7 pixels for the labels of plots. Lower-case letters are drawn as capitals.
 */

const GLYPH_COLUMNS = 5;
/** Width of a glyph with the space after it. */
const GLYPH_ADVANCE = 6;

/** Rows of each glyph from the top. A row has five bits, the highest of them on the left. */
const GLYPHS: Record<string, number[]> = {
  "A": [14, 17, 17, 31, 17, 17, 17],
  "B": [30, 17, 17, 30, 17, 17, 30],
  "C": [14, 17, 16, 16, 16, 17, 14],
  "D": [30, 17, 17, 17, 17, 17, 30],
  "E": [31, 16, 16, 30, 16, 16, 31],
  "F": [31, 16, 16, 30, 16, 16, 16],
  "G": [14, 17, 16, 23, 17, 17, 15],
  "H": [17, 17, 17, 31, 17, 17, 17],
  "I": [14, 4, 4, 4, 4, 4, 14],
  "J": [7, 2, 2, 2, 2, 18, 12],
  "K": [17, 18, 20, 24, 20, 18, 17],
  "L": [16, 16, 16, 16, 16, 16, 31],
  "M": [17, 27, 21, 21, 17, 17, 17],
  "N": [17, 25, 21, 19, 17, 17, 17],
  "O": [14, 17, 17, 17, 17, 17, 14],
  "P": [30, 17, 17, 30, 16, 16, 16],
  "Q": [14, 17, 17, 17, 21, 18, 13],
  "R": [30, 17, 17, 30, 20, 18, 17],
  "S": [15, 16, 16, 14, 1, 1, 30],
  "T": [31, 4, 4, 4, 4, 4, 4],
  "U": [17, 17, 17, 17, 17, 17, 14],
  "V": [17, 17, 17, 17, 17, 10, 4],
  "W": [17, 17, 17, 21, 21, 27, 17],
  "X": [17, 17, 10, 4, 10, 17, 17],
  "Y": [17, 17, 10, 4, 4, 4, 4],
  "Z": [31, 1, 2, 4, 8, 16, 31],
  "0": [14, 17, 19, 21, 25, 17, 14],
  "1": [4, 12, 4, 4, 4, 4, 14],
  "2": [14, 17, 1, 6, 8, 16, 31],
  "3": [30, 1, 1, 14, 1, 1, 30],
  "4": [2, 6, 10, 18, 31, 2, 2],
  "5": [31, 16, 30, 1, 1, 17, 14],
  "6": [14, 16, 16, 30, 17, 17, 14],
  "7": [31, 1, 2, 4, 8, 8, 8],
  "8": [14, 17, 17, 14, 17, 17, 14],
  "9": [14, 17, 17, 15, 1, 1, 14],
  " ": [0, 0, 0, 0, 0, 0, 0],
  ".": [0, 0, 0, 0, 0, 12, 12],
  ",": [0, 0, 0, 0, 12, 4, 8],
  "-": [0, 0, 0, 31, 0, 0, 0],
  "/": [1, 1, 2, 4, 8, 16, 16],
  "%": [25, 25, 2, 4, 8, 19, 19],
  ":": [0, 12, 12, 0, 12, 12, 0],
  "(": [2, 4, 8, 8, 8, 4, 2],
  ")": [8, 4, 2, 2, 2, 4, 8],
  "+": [0, 4, 4, 31, 4, 4, 0],
  "=": [0, 0, 31, 0, 31, 0, 0],
};

/** Returns the width of a text in pixels. */
export function textWidth(text: string, scale: number): number {
  return text.length * GLYPH_ADVANCE * scale;
}

/** Calls `plot` for each pixel of a text; draws a character without a glyph as a dash. */
export function drawText(
  text: string,
  options: { x: number; y: number; scale: number },
  plot: (x: number, y: number) => void,
): void {
  const { x, y, scale } = options;
  for (const [index, letter] of [...text.toUpperCase()].entries()) {
    const rows = GLYPHS[letter] ?? GLYPHS["-"];
    rows.forEach((row, line) => {
      for (let column = 0; column < GLYPH_COLUMNS; column++) {
        if ((row >> (GLYPH_COLUMNS - 1 - column)) & 1) {
          const left = x + (index * GLYPH_ADVANCE + column) * scale;
          drawSquare(left, y + line * scale, { scale, plot });
        }
      }
    });
  }
}

function drawSquare(
  left: number,
  top: number,
  options: { scale: number; plot: (x: number, y: number) => void },
): void {
  for (let row = 0; row < options.scale; row++) {
    for (let column = 0; column < options.scale; column++) {
      options.plot(left + column, top + row);
    }
  }
}
